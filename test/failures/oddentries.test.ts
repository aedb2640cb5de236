import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {WebSocket} from 'ws';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';
import {StoreError} from '../../src/relay/index.js';
import {FrameTag} from '../../src/relay/peers/frame.js';
import {PEER_PATH} from '../../src/relay/peers/link.js';
import {pack} from '../../src/wire/index.js';

const HOST_KIND = 'comfreydyke-hosts';
const ODD_TARGET = {
	id: 'i-odd', service: 'back', slots: 4, state: 'ready',
};

let mesh: Mesh;
let unexpected: Error[];
const onUnexpected = (error: Error) => {
	unexpected.push(error);
};

beforeEach(() => {
	unexpected = [];
	process.prependListener('uncaughtException', onUnexpected);
	mesh = new Mesh();
});

afterEach(async () => {
	process.off('uncaughtException', onUnexpected);
	await mesh.close();
	expect(unexpected).toEqual([]);
});

async function expectStatus(port: number, path = '/x/') {
	await expect.poll(async () => {
		const {status} = await call(port, path, {headers: createAttemptHeaders(`odd-${Math.random()}`)});
		return status;
	}, {timeout: 5000}).toBe(200);
}

const refuse = async () => {
	throw new StoreError('unavailable', 'this host is cut off from the store');
};

/** Adds a host that is cut off from the store and hears from its peers alone. @returns the port for its clients */
async function addCutHost(): Promise<number> {
	const view = mesh.store.createView();
	const cut = Object.assign(view, {
		list: refuse, watch: refuse, put: refuse, get: refuse,
	});
	mesh.store.createView = () => cut;
	const {settings: {listen}} = await mesh.addHost('cut', {
		id: 'i-cut', service: 'front', slots: 4, workMs: 5,
	});
	mesh.store.set(HOST_KIND, 'cut', {host: 'cut', failureDomain: 'a', address: `127.0.0.1:${listen.peers.port}`});
	await expectStatus(listen.requests.port);
	return listen.requests.port;
}

const DEEP_TEXTS = [`${'['.repeat(500_000)}${']'.repeat(500_000)}`, `${'{"a":'.repeat(170_000)}1${'}'.repeat(170_000)}`];

/** The configuration of version 2, which has the route `y`, too. */
const NEXT_SITE = createSiteSpec([createRoute('x', 'back'), createRoute('y', 'back')], 2);

describe('an odd entry among those of the hosts', () => {
	// Guards against links that end over frames longer than peers accept.
	it.each([
		['failure domain', (number: number) => ({host: `odd-${number}`, failureDomain: 'x'.repeat(1_000_000), target: ODD_TARGET})],
		['instance id', (number: number) => ({host: `odd-${number}`, failureDomain: 'a', target: {...ODD_TARGET, id: 'x'.repeat(1_000_000)}})],
		['name', (number: number) => ({host: `odd-${number}-${'x'.repeat(1_000_000)}`, failureDomain: 'a', target: ODD_TARGET})],
	])('with a very long %s ends no link, and the others still follow', async (_part, build) => {
		await mesh.addPair();
		const port = await addCutHost();
		for (let number = 0; number < 8; number++) {
			const entry = build(number);
			mesh.store.set(HOST_KIND, entry.host, {...entry, address: '127.0.0.1:9'});
		}

		mesh.store.set('site', 'main', NEXT_SITE);
		await expectStatus(port, '/y/');
		for (let number = 0; number < 8; number++) {
			mesh.store.delete(HOST_KIND, build(number).host);
		}

		expect(mesh.logLines.filter(line => line.includes('event=host_rejected') && !line.includes(' host=odd-'))).toEqual([]);
		expect(Math.max(...mesh.logLines.map(line => line.length))).toBeLessThan(5000);
		// Some comparisons of versions
		await sleep(4000);
		expect(mesh.logLines.filter(line => line.includes('payload'))).toEqual([]);
	}, 20_000);
});

describe('an odd entry under the name of a host', () => {
	// Guards against a target that counts as ended for good, because no later start exceeds the number.
	it.each([1e308, 2 ** 53, Number.MAX_SAFE_INTEGER, 2 ** 44, 1.5, -1, 'soon'])('that says its target ended at %s ends no target', async bornMs => {
		const {port} = await mesh.addPair();
		await expectStatus(port);
		const own = mesh.store.get(HOST_KIND, 'back');
		mesh.store.set(HOST_KIND, 'back', {...own.value as object, ended: {id: 'i-back', bornMs}});
		await sleep(1200);
		await expectStatus(port);
		expect(mesh.logLines.filter(line => line.includes('event=target_ended_before'))).toEqual([]);
	}, 20_000);

	// Guards against a host that daemons which start later never learn of.
	it.each([
		'text',
		{host: 'back'},
		{host: 'front', failureDomain: 'a', address: '127.0.0.1:9'},
		{host: 'back', failureDomain: 'a', address: '127.0.0.1:83000'},
	])('that can\'t be read is replaced by the host\'s own (%#)', async value => {
		const {port} = await mesh.addPair();
		await expectStatus(port);
		const own = mesh.store.get(HOST_KIND, 'back').value;
		mesh.store.set(HOST_KIND, 'back', value);
		await expect.poll(() => mesh.store.get(HOST_KIND, 'back').value, {timeout: 5000}).toEqual(own);
		await expectStatus(port);
	}, 20_000);

	it.each([0, -1, 1.5, 1e21, 1e308, Number.MAX_SAFE_INTEGER, '4'])('that names %s slots is used by none', async slots => {
		const {port} = await mesh.addPair();
		mesh.store.set(HOST_KIND, 'odd', {
			host: 'odd', failureDomain: 'a', address: '127.0.0.1:9', target: {...ODD_TARGET, slots},
		});
		await expect.poll(() => mesh.logLines.some(line => line.includes('event=host_rejected') && line.includes('target.slots')), {timeout: 5000}).toBe(true);
		await expectStatus(port);
	}, 20_000);
});

describe('an odd configuration', () => {
	// Guards against a configuration that can't be encoded for the daemons that get it from peers.
	it.each(DEEP_TEXTS)('with a very deeply nested part reaches the daemons that get it from peers, and ends no link (%#)', async text => {
		await mesh.addPair();
		const port = await addCutHost();
		const {value} = mesh.store.set('site', 'main', NEXT_SITE);
		// The store in memory couldn't copy it.
		const deep: unknown = JSON.parse(text);
		Object.assign(value as object, {odd: deep, odder: {a: [deep]}});
		await expectStatus(port, '/y/');
		expect(mesh.logLines.filter(line => line.includes('call stack'))).toEqual([]);
	}, 20_000);
});

describe('an odd age in the news of a peer', () => {
	// Guards against a busy loop of calls to the store, or of timers, once the time of the next call is no time.
	it.each([Number.NaN, -1e308, -1e15, -1, 1e308, Number.POSITIVE_INFINITY])('of %s ms brings no more calls to the store', async ageMs => {
		const warnings: Error[] = [];
		const onWarning = (warning: Error) => {
			warnings.push(warning);
		};

		process.on('warning', onWarning);
		const {back, port} = await mesh.addPair();
		const socket = new WebSocket(`ws://127.0.0.1:${back.settings.listen.peers.port}${PEER_PATH}`);
		await new Promise(resolve => {
			socket.on('open', resolve);
		});
		socket.send(pack([FrameTag.news, 1, ageMs, 0, null]));
		const callsBefore = mesh.store.callCount;
		await sleep(2000);
		const calls = mesh.store.callCount - callsBefore;
		socket.terminate();
		process.off('warning', onWarning);
		expect(calls).toBeLessThan(100);
		expect(warnings.filter(({name}) => name === 'TimeoutOverflowWarning')).toEqual([]);
		await expectStatus(port);
	}, 20_000);
});
