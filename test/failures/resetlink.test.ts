import {Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
	type AddressInfo, type Server, type Socket, connect, createServer,
} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SystemClock} from '../../src/clock/index.js';
import {type AnswerHead, type Call, CallSink} from '../../src/relay/call.js';
import {FrameTag} from '../../src/relay/peers/frame.js';
import {Link} from '../../src/relay/peers/link.js';
import {LinkEvents} from '../../src/relay/peers/linkevents.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget} from '../../standins/meshtarget.js';
import {findFreePorts} from '../../standins/ports.js';
import {snapshotArguments} from '../../standins/snapshot.js';
import {StoreStandin} from '../../standins/store.js';

const DAEMON_ENTRY = 'soak/daemon.ts';
/** Within a call's window, and more than a socket takes while its program doesn't read. */
const BODY_BYTES = 250_000;
/** How long what the daemon sends is held up on its way to its peer once the process has ended or goes on to wait, in ms. */
const HELD_UP_MS = 400;

class Outcome extends CallSink {
	bytes = 0;
	end = '';
	override onRefused(reason: string): void {
		this.end = `refused ${reason}`;
	}

	override onFailed(reason: string): void {
		this.end = `failed ${reason}`;
	}

	override onAnswer(_head: AnswerHead, body: Buffer, isWhole: boolean): void {
		this.onChunk(body, isWhole);
	}

	override onChunk(bytes: Buffer, isLast: boolean): void {
		this.bytes += bytes.length;
		this.end = isLast ? 'whole' : this.end;
	}

	override onCredit(): void {
		// No body is streamed.
	}
}

class NoEvents extends LinkEvents {
	override onOpen(): void {
		// Calls are sent then.
	}

	override onFrame(): void {
		// What belongs to no call doesn't matter here.
	}

	override onStalled(): void {
		// The link is watched by nobody.
	}

	override onResumed(): void {
		// As above.
	}

	override onDetached(): void {
		// The test has no silent peer.
	}

	override onClosed(): void {
		// The call's sink is told.
	}
}

let store: StoreStandin;
let target: MeshTarget;
let daemon: ChildProcess | undefined;
let proxy: Server;
const CLOCK = new SystemClock();
let link: Link | undefined;
let folder: string;
let log = '';
const answerSides = new Set<Socket>();
beforeEach(async () => {
	folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-resetlink-'));
	snapshotArguments(DAEMON_ENTRY);
	store = new StoreStandin();
	await store.listen();
	store.put('site', 'main', createSiteSpec([createRoute('x', 'back', {timeoutMs: 5000})]));
});
afterEach(async () => {
	link?.close('test');
	proxy.close();
	for (const socket of answerSides) {
		socket.destroy();
	}

	daemon?.kill('SIGKILL');
	await target.close();
	store.close();
	rmSync(folder, {recursive: true, force: true});
});

/** Passes links on to a port; what comes back waits while `answerSides` are paused. */
async function listenProxy(toPort: number): Promise<number> {
	proxy = createServer(peer => {
		const toDaemon = connect(toPort, '127.0.0.1');
		answerSides.add(toDaemon);
		peer.on('error', () => undefined);
		toDaemon.on('error', () => undefined);
		peer.pipe(toDaemon);
		toDaemon.pipe(peer);
		toDaemon.on('close', () => {
			peer.end();
		});
	});
	proxy.listen(0, '127.0.0.1');
	await once(proxy, 'listening');
	return (proxy.address() as AddressInfo).port;
}

async function startDaemon(): Promise<number> {
	const ports = await findFreePorts(4);
	target = new MeshTarget({
		id: 'i-back', service: 'back', slots: 4, workMs: 5,
	});
	await target.listen();
	const at = (port: number) => ({ip: '127.0.0.1', port});
	const file = path.join(folder, 'settings.json');
	writeFileSync(file, JSON.stringify({
		storeAddress: store.address,
		relay: {
			host: 'back', failureDomain: 'a', service: 'back', target: at(target.port),
			listen: {
				requests: at(ports[0]), peers: at(ports[1]), readiness: at(ports[2]), announcements: at(ports[3]),
			},
			seeds: [], isFirstStart: true, announceIntervalMs: 500, configMs: 2000, settlingMs: 0, drainMs: 1000, graceMs: 6000, lameDuckMs: 700,
			retry: {ratio: 0.2, slack: 48, windowMs: 10_000},
		},
	}));
	daemon = spawn(process.execPath, snapshotArguments(DAEMON_ENTRY), {env: {...process.env, COMFREYDYKE_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe']});
	const onOutput = (data: unknown) => {
		log += String(data);
	};

	daemon.stdout!.on('data', onOutput);
	daemon.stderr!.on('data', onOutput);
	await expect.poll(() => log, {timeout: 10_000}).toContain('event=started');
	await expect.poll(async () => target.announce(ports[3]), {timeout: 5000}).toBe(200);
	return ports[1];
}

describe('a daemon that stops while an answer is on its way to a peer', () => {
	// Guards against a reset of the link, by what the peer sends behind the end of the process, that takes the answer along (LOST).
	it('has its answer arrive whole', async () => {
		const port = await listenProxy(await startDaemon());
		let response: (() => void) | undefined;
		target.behaviourOverride = (request, answer) => {
			response = () => {
				target.answer(answer, String(request.headers[meshHeaders.attemptId]), 200, Buffer.alloc(BODY_BYTES, 'x'));
			};
		};

		link = new Link('back', `127.0.0.1:${port}`, new NoEvents(), {clock: CLOCK, runningClock: CLOCK});
		const outcome = new Outcome();
		const call: Call = {
			template: {
				route: 'x', rank: 0, repeatability: 'safe', method: 'GET', callerService: 'front', headers: [],
			},
			attemptId: 'a', path: '/x/', instance: 'i-back', leftMs: 5000, objectiveLeftMs: 1000,
			priority: {level: 0, floor: 0}, isNested: false, body: Buffer.alloc(0), isRepeat: false, rateLimitPerS: undefined, hasMoreBody: false,
		};
		link.call(call, outcome);
		await expect.poll(() => response, {timeout: 5000}).toBeDefined();
		daemon!.kill('SIGTERM');
		await expect.poll(() => log, {timeout: 5000}).toContain('event=stopping');
		await sleep(100);
		for (const socket of answerSides) {
			socket.pause();
		}

		response!();
		// What a daemon does after this, it does for its peers: the process would end now.
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=stopped');
		await sleep(HELD_UP_MS);
		link.send([FrameTag.credit, 1, 1]);
		await sleep(HELD_UP_MS / 4);
		for (const socket of answerSides) {
			socket.resume();
		}

		await expect.poll(() => outcome.end, {timeout: 5000}).not.toBe('');
		expect([outcome.end, outcome.bytes]).toEqual(['whole', BODY_BYTES]);
	});
});
