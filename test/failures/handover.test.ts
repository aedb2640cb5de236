import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {usableSlots} from '../../src/mesh/index.js';
import {PeerServer} from '../../src/relay/peers/peerserver.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const SLOTS = 4;
const WORK_MS = 400;
const HEAD = Object.entries(createAttemptHeaders('probe', 500)).map(([name, value]) => `${name}: ${value}\r\n`).join('');

let mesh: Mesh;
afterEach(async () => {
	vi.restoreAllMocks();
	await mesh.close();
});

/** Sends one request on a connection of its own. @returns `cut` if it was accepted and got no answer */
async function sendRaw(port: number): Promise<'refused' | 'answered' | 'cut'> {
	return new Promise(resolve => {
		let isAccepted = false;
		const socket = connect(port, '127.0.0.1', () => {
			isAccepted = true;
			socket.write(`GET /none/ HTTP/1.1\r\n${HEAD}\r\n`);
		});
		socket.on('data', () => {
			resolve('answered');
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(isAccepted ? 'cut' : 'refused');
		});
	});
}

/** Starts a daemon while the one before it drains, under load. @returns what no caller or target may see */
async function handOver(): Promise<string[]> {
	mesh = new Mesh({isFirstStart: false});
	const {front, back} = await mesh.addPair({
		routes: [createRoute('x', 'back', {repeatability: 'unsafe', timeoutMs: 5000})], back: {slots: SLOTS, workMs: WORK_MS},
	});
	const {requests, peers, readiness, announcements} = back.settings.listen;
	const ids: string[] = [];
	const send = async () => {
		const id = `a${ids.length}`;
		ids.push(id);
		const {status} = await call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders(id, 4000)});
		return status;
	};

	const early = Array.from({length: SLOTS * 3}, async () => send());
	await sleep(50);
	let isStopped = false;
	const stopping = (async () => {
		await back.stop();
		isStopped = true;
	})();
	const faults: string[] = [];
	const starting = (async () => {
		try {
			const successor = await mesh.startDaemon('back', back.target, [requests.port, peers.port, readiness.port, announcements.port]);
			faults.push(...(isStopped ? [] : ['began beside the other']));
			mesh.hosts[1] = successor;
		} catch (error) {
			faults.push((error as Error).message);
		}
	})();
	// eslint-disable-next-line no-unmodified-loop-condition -- the stop ends it
	while (!isStopped) {
		// eslint-disable-next-line no-await-in-loop -- for as long as the stop takes
		await sleep(20);
		// eslint-disable-next-line no-await-in-loop -- as above
		faults.push(...(await sendRaw(requests.port) === 'cut' ? ['an accepted request was cut'] : []));
		early.push(send());
	}

	await Promise.all([stopping, starting]);
	await mesh.settle();
	await mesh.settle();
	const statuses = await Promise.all(early);
	const ran = back.target.ranAttemptIds;
	const last = await send();
	return [
		...faults,
		...(back.target.maxRunningCount > usableSlots(SLOTS) ? ['more runs at once than slots'] : []),
		...(new Set(ran).size < ran.length ? ['a call ran twice'] : []),
		...statuses.flatMap((status, index) => ran.includes(ids[index]) === (status === 200) ? [] : [`${ids[index]}: ${status}`]),
		...(last === 200 ? [] : ['the successor does not serve']),
	];
}

describe('a daemon that starts while the one before it drains', () => {
	it('accepts nobody and owns no target until that one has ended, and then serves', async () => {
		expect(await handOver()).toEqual([]);
	});

	it('is reported if it does not wait', async () => {
		const {listen} = PeerServer.prototype;
		vi.spyOn(PeerServer.prototype, 'listen').mockImplementation(async function (this: PeerServer, address) {
			await listen.call(this, address, {maxMs: 0});
		});
		expect(await handOver()).not.toEqual([]);
	});
});
