import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {cac} from 'cac';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {registerQuarantineCommand} from '../../src/cli/quarantine.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {CRASH_AFTER_MS, type MeshTarget, call} from '../../standins/meshtarget.js';

const COPIES = 3;
const SENDING_MS = 6000;
const SEND_INTERVAL_MS = 120;
/** Long enough for a request to be held and for the copies to be back. */
const LEARNING_MS = 2500;
/** How long after the third crash the daemons may still send a request that crashes targets; after that, in three retries. */
const CONTACT_MS = 1500;
const MAX_RETRIES = 3;

let mesh: Mesh;
let nextId = 0;
afterEach(async () => {
	await mesh.close();
});

/** Starts two hosts for clients, and copies of the service that the route `x` leads to. */
async function createSite({routes = [createRoute('x', 'back')], quarantineMs = 30_000, workMs = 30} = {}): Promise<{clients: MeshHost[]; copies: MeshTarget[]}> {
	mesh = new Mesh({quarantineMs});
	mesh.configure(createSiteSpec(routes));
	const options = {slots: 20, workMs};
	const clients = [];
	const copies = [];
	for (const name of ['client-1', 'client-2']) {
		// eslint-disable-next-line no-await-in-loop -- the hosts learn of each other in order
		clients.push(await mesh.addHost(name, {
			id: `i-${name}`, service: 'front', calls: {'/f/': [{path: '/x/deadly', times: 1}]}, ...options,
		}));
	}

	for (let index = 0; index < COPIES; index++) {
		// eslint-disable-next-line no-await-in-loop
		const {target} = await mesh.addHost(`copy-${index}`, {id: `i-copy-${index}`, service: 'back', ...options});
		target.crashesOn = ({url}) => url === '/x/deadly';
		copies.push(target);
	}

	await mesh.settle();
	return {clients, copies};
}

/** Sends the path through the clients in turn, beside sound requests. @param leavingMs after which time its callers leave @returns the statuses of both */
async function sendFor(durationMs: number, path: string, clients: readonly MeshHost[], leavingMs?: number): Promise<{deadly: number[]; sound: number[]}> {
	const sent = {deadly: [] as Array<Promise<number>>, sound: [] as Array<Promise<number>>};
	const send = async (to: MeshHost, target: string, signal?: AbortSignal) => {
		const {status} = await call(to.settings.listen.requests.port, target, {headers: createAttemptHeaders(`a${nextId++}`), ...(signal && {signal})});
		return status;
	};

	const endMs = Date.now() + durationMs;
	for (let index = 0; Date.now() < endMs; index++) {
		const to = clients[index % clients.length];
		sent.deadly.push(send(to, path, leavingMs === undefined ? undefined : AbortSignal.timeout(leavingMs)));
		sent.sound.push(send(to, `/x/${index}`), send(to, `/x/${index}-2`));
		// eslint-disable-next-line no-await-in-loop -- one after the other, like a client that comes again
		await sleep(SEND_INTERVAL_MS);
	}

	return {deadly: await Promise.all(sent.deadly), sound: await Promise.all(sent.sound)};
}

/** When the copies began to run the request, in ms since 1970. */
function listRuns(copies: readonly MeshTarget[]): number[] {
	return copies.flatMap(({receivedRequests, receivedTimesMs}) => receivedTimesMs.filter((_, index) => receivedRequests[index].url === '/x/deadly')).toSorted((a, b) => a - b);
}

function countLateRuns(copies: readonly MeshTarget[]): number {
	const runs = listRuns(copies);
	return runs.filter(atMs => atMs > runs[2] + CONTACT_MS).length;
}

function mend(copies: readonly MeshTarget[]): void {
	for (const copy of copies) {
		copy.crashesOn = undefined;
	}
}

async function restartDaemon(host: MeshHost): Promise<MeshHost> {
	const {name, target, settings: {listen}, stop} = host;
	await stop();
	const successor = await mesh.startDaemon(name, target, [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port));
	mesh.hosts.splice(mesh.hosts.indexOf(host), 1, successor);
	return successor;
}

/** Runs a command of the command line. @returns what it prints */
async function runCommand(...words: string[]): Promise<string> {
	const print = vi.spyOn(console, 'log').mockImplementation(() => undefined);
	const cli = cac('comfreydyke');
	registerQuarantineCommand(cli);
	cli.parse(['node', 'comfreydyke', ...words], {run: false});
	await cli.runMatchedCommand();
	const printed = print.mock.calls.map(([text]) => String(text)).join('\n');
	print.mockRestore();
	return printed;
}

describe('a request that crashes each target that runs it', () => {
	it('crashed target after target, as nobody remembered it', async () => {
		const {clients, copies} = await createSite();
		const {deadly, sound} = await sendFor(SENDING_MS, '/x/deadly', clients);
		expect(countLateRuns(copies)).toBeLessThanOrEqual(MAX_RETRIES);
		expect(deadly).not.toContain(200);
		// The last half of the time: all copies are back, and nothing crashes them.
		expect(sound.slice(-sound.length / 2).filter(status => status !== 200)).toEqual([]);
	});

	it('crashed target after target, as a call that runs make', async () => {
		const {clients, copies} = await createSite({routes: [createRoute('x', 'back'), createRoute('f', 'front')]});
		const {sound} = await sendFor(SENDING_MS, '/f/1', clients);
		expect(countLateRuns(copies)).toBeLessThanOrEqual(MAX_RETRIES);
		expect(sound.slice(-sound.length / 2).filter(status => status !== 200)).toEqual([]);
	});

	it('crashed target after target, as its callers had left before each crash', async () => {
		// Runs that would take so long are aborted when their callers leave.
		const {clients, copies} = await createSite({workMs: 150});
		await sendFor(1000, '/x/sound', clients);
		await sendFor(SENDING_MS, '/x/deadly', clients, CRASH_AFTER_MS / 2);
		expect(countLateRuns(copies)).toBeLessThanOrEqual(MAX_RETRIES);
	});

	it('is refused with the time that is left, and at once by daemons that start again, also while the store is away', async () => {
		const {clients, copies} = await createSite();
		mesh.store.fault = 'down';
		mesh.store.wakeWatches();
		await sendFor(LEARNING_MS, '/x/deadly', clients);
		mesh.store.fault = 'none';
		const restarted = await Promise.all(clients.map(async host => restartDaemon(host)));
		await mesh.settle();
		const before = listRuns(copies).length;
		for (const {settings} of restarted) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {status, headers} = await call(settings.listen.requests.port, '/x/deadly', {headers: createAttemptHeaders(`a${nextId++}`)});
			expect(status).toBe(503);
			expect(Number(headers['retry-after'])).toBeGreaterThan(20);
			expect(Number(headers['retry-after'])).toBeLessThanOrEqual(30);
		}

		expect(listRuns(copies).length).toBe(before);
	});

	it('is served again once its targets are mended and the time is over', async () => {
		const {clients, copies} = await createSite({quarantineMs: 2000});
		await sendFor(LEARNING_MS / 2, '/x/deadly', clients);
		mend(copies);
		const early = await sendFor(500, '/x/deadly', clients);
		expect(early.deadly).not.toContain(200);
		await sleep(2000);
		const late = await sendFor(500, '/x/deadly', clients);
		expect(late.deadly.filter(status => status !== 200)).toEqual([]);
	});

	it('is shown to an operator by its fingerprint, and let through at all daemons', async () => {
		const {clients, copies} = await createSite();
		await sendFor(LEARNING_MS, '/x/deadly', clients);
		mend(copies);
		const fingerprint = /event=refused .*reason=quarantined .*fingerprint=(?<id>[\da-f]{16})/v.exec(mesh.logLines.join('\n'))?.groups?.id ?? '';
		const [first, second] = clients;
		const address = `127.0.0.1:${first.settings.listen.metrics!.port}`;
		const shown = await runCommand('quarantine', address, fingerprint);
		expect(shown).toMatch(new RegExp(`client-1: 1 held, 0 suspected\n  ${fingerprint} refused for [\\d.]+ s more: GET /x/deadly of route x, from front; proved 1 times, last by attempt a\\d+$`, 'v'));
		expect(await runCommand('quarantine', address, fingerprint, '--lift')).toBe(`client-1: ${fingerprint} is let through again; the other daemons are told`);
		await sleep(100);
		const {status} = await call(second.settings.listen.requests.port, '/x/deadly', {headers: createAttemptHeaders('lifted')});
		expect(status).toBe(200);
	});
});

describe('targets that crash by themselves', () => {
	it('get no sound request refused for it, also of a path that many callers send', async () => {
		const {clients, copies} = await createSite();
		const crashes = (async () => {
			for (let index = 0; index < 12; index++) {
				void copies[index % COPIES].crashAndRestart();
				// Each third time two at once.
				if (index % 3 === 0) {
					void copies[(index + 1) % COPIES].crashAndRestart();
				}

				// eslint-disable-next-line no-await-in-loop -- one after the other
				await sleep(SENDING_MS / 12);
			}
		})();
		const popular = await sendFor(SENDING_MS, '/x/popular', clients);
		await crashes;
		expect(copies.reduce((sum, {crashCount}) => sum + crashCount, 0)).toBeGreaterThan(10);
		expect(mesh.logLines.filter(line => line.includes('reason=quarantined') || line.includes('event=request_held'))).toEqual([]);
		expect(popular.deadly.filter(status => status === 200).length).toBeGreaterThan(popular.deadly.length / 2);
	});
});
