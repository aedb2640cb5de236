import {Buffer} from 'node:buffer';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {type IncomingMessage} from 'node:http';
import {
	type AddressInfo, type Socket, connect, createServer,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type HostEntry} from '../../src/mesh/index.js';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {type BehaviourOverride, call} from '../../standins/meshtarget.js';

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const statusOf = async (port: number, path: string, id: string, method = 'GET') => {
	const {status} = await call(port, path, {method, headers: createAttemptHeaders(id)});
	return status;
};

const signatureOf = async (port: number, path: string, id: string) => {
	const {headers} = await call(port, path, {headers: createAttemptHeaders(id)});
	return headers[meshHeaders.signature];
};

/** Longer than a busy machine takes. */
const LONG_MS = 20_000;

/** How many calls a daemon has sent to targets. */
const sentCount = async ({settings}: MeshHost) => {
	const {body} = await call(settings.listen.metrics!.port, '/metrics');
	return Number(/sent_total\{[^\}]*\} (?<count>\d+)/v.exec(body.toString())?.groups?.count);
};

const target = (id: string, service: string, more = {}) => ({
	id, service, slots: 4, workMs: 5, ...more,
});

describe('a mesh of daemons', () => {
	it('forwards a request to a target on another host and returns its complete answer', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({back: {bodyBytes: 700}});
		const {status, headers, body} = await call(front.settings.listen.requests.port, '/x/y?z=1', {headers: createAttemptHeaders('a1')});
		expect([status, headers[meshHeaders.signature], body.length]).toEqual([200, 'i-back/a1', 700]);
		const [seen] = back.target.receivedRequests;
		expect([seen.url, seen.headers[meshHeaders.callerService], Number(seen.headers[meshHeaders.deadlineMs]) <= 2000]).toEqual(['/x/y?z=1', 'front', true]);
	});

	it('streams large request and answer bodies without losing bytes', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({back: {bodyBytes: 1_500_000}});
		const sent = Buffer.alloc(900_000, 'abcdefg');
		const {status, body, isWhole} = await call(front.settings.listen.requests.port, '/x/', {method: 'POST', headers: createAttemptHeaders('a1'), body: sent});
		expect([status, body.length, isWhole]).toEqual([200, 1_500_000, true]);
		expect(back.target.receivedBodies[0].equals(sent)).toBe(true);
	});

	it('answers 503 without a configuration and 404 without a route', async () => {
		mesh = new Mesh();
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const {port} = front.settings.listen.requests;
		const early = await call(port, '/x/', {headers: createAttemptHeaders('a1')});
		expect([early.status, Number(early.headers['retry-after']) > 0]).toEqual([503, true]);
		mesh.configure(createSiteSpec([createRoute('x', 'front')]));
		await mesh.settle();
		expect(await statusOf(port, '/x/', 'a2')).toBe(200);
		expect(await statusOf(port, '/none/', 'a3')).toBe(404);
	});

	it('never exceeds a target\'s concurrency limit, and still serves all requests', async () => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: LONG_MS, objectiveMs: LONG_MS})]});
		// No run ends before all requests have been let through: on a busy machine the first runs would make the target a slow one, which sheds load.
		const held: Array<() => void> = [];
		let isOpen = false;
		let running = 0;
		let maxRunning = 0;
		back.target.behaviourOverride = ({headers}, response) => {
			const finish = () => {
				running--;
				back.target.answer(response, String(headers[meshHeaders.attemptId]));
			};

			maxRunning = Math.max(maxRunning, ++running);
			if (isOpen) {
				setTimeout(finish, 30);
			} else {
				held.push(finish);
			}
		};

		const answers = Array.from({length: 20}, async (_, number) => call(port, '/x/', {headers: createAttemptHeaders(`a${number}`, LONG_MS)}));
		await expect.poll(async () => sentCount(front), {timeout: LONG_MS}).toBe(20);
		await expect.poll(() => held.length, {timeout: LONG_MS}).toBeGreaterThan(0);
		isOpen = true;
		for (const finish of held) {
			finish();
		}

		const whole = await Promise.all(answers);
		expect(whole.map(({status}) => status)).toEqual(whole.map(() => 200));
		expect(maxRunning).toBeLessThanOrEqual(4);
	});

	it('ends a request at its route\'s timeout and cancels its run at the target', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: 200})]});
		const hung = back.target.hang();
		const startMs = performance.now();
		const {status} = await call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders('a1')});
		expect([status, performance.now() - startMs < 450]).toEqual([504, true]);
		await sleep(100);
		expect(hung).toEqual({begun: 1, closed: 1});
	});

	it('lets a short run finish when its client disconnects, so that the connection to the target is kept', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({back: {workMs: 40}});
		const {port} = front.settings.listen.requests;
		// The first requests teach the daemon how long a run takes.
		for (let number = 0; number < 25; number++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await statusOf(port, '/x/', `a${number}`);
		}

		const {openConnectionCount: connections} = back.target;
		for (let number = 0; number < 5; number++) {
			const client = new AbortController();
			const called = call(port, '/x/', {headers: createAttemptHeaders(`b${number}`), signal: client.signal});
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await expect.poll(() => back.target.runningCount, {timeout: 5000, interval: 1}).toBe(1);
			client.abort();
			// eslint-disable-next-line no-await-in-loop
			await called;
			// eslint-disable-next-line no-await-in-loop
			await expect.poll(() => back.target.runningCount, {timeout: 5000}).toBe(0);
			// eslint-disable-next-line no-await-in-loop
			await sleep(20);
		}

		expect([back.target.ranAttemptIds.length, back.target.runningCount, back.target.openedConnectionCount]).toEqual([30, 0, connections]);
	});

	it('cancels the run at the target when the client disconnects', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair();
		const hung = back.target.hang();
		await call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders('a1'), signal: AbortSignal.timeout(100)});
		await sleep(300);
		expect(hung).toEqual({begun: 1, closed: 1});
	});
});

describe('an invalid answer of a target', () => {
	const invalidAnswers = {
		'without a signature': (id: string) => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\nContent-Length: 2\r\n\r\nok`,
		'with the attempt id of another request': () => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: other\r\n${meshHeaders.signature}: s\r\nContent-Length: 2\r\n\r\nok`,
		'with a truncated body': (id: string) => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s\r\nContent-Length: 9\r\n\r\nok`,
		'that isn\'t HTTP': () => 'hello\r\n\r\n',
		encoded: (id: string) => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok`,
	};
	it.each(Object.entries(invalidAnswers))('%s becomes a 502, and an unsafe request isn\'t retried', async (_name, buildAnswer) => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const backs = [await mesh.addHost('back-1', target('i-1', 'back')), await mesh.addHost('back-2', target('i-2', 'back'))];
		let runs = 0;
		const answerInvalidly: BehaviourOverride = request => {
			runs++;
			request.socket.end(buildAnswer(String(request.headers[meshHeaders.attemptId])));
		};

		for (const {target: one} of backs) {
			one.behaviourOverride = answerInvalidly;
		}

		await mesh.settle();
		const {status} = await call(front.settings.listen.requests.port, '/x/', {method: 'POST', headers: createAttemptHeaders('a1')});
		expect([status, runs]).toEqual([502, 1]);
	});

	it('without a length becomes a 502 when its connection is reset, and is complete when its connection closes', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		let isReset = false;
		back.target.behaviourOverride = ({socket, headers}) => {
			socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${String(headers[meshHeaders.attemptId])}\r\n${meshHeaders.signature}: s\r\nConnection: close\r\n\r\nhalf`);
			setTimeout(() => {
				if (isReset) {
					socket.resetAndDestroy();
				} else {
					socket.end(' whole');
				}
			}, 20);
		};

		const {port} = front.settings.listen.requests;
		const whole = await call(port, '/x/', {method: 'POST', headers: createAttemptHeaders('a1')});
		expect([whole.status, whole.body.toString(), whole.headers['content-length'], whole.headers.connection]).toEqual([200, 'half whole', undefined, 'close']);
		isReset = true;
		expect(await statusOf(port, '/x/', 'a2', 'POST')).toBe(502);
	});

	it('sent in surplus never reaches the next request on the connection', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back')]));
		const front = await mesh.addHost('front', target('i-front', 'front', {slots: 1}));
		const back = await mesh.addHost('back', target('i-back', 'back', {slots: 1}));
		back.target.behaviourOverride = (request, response) => {
			const {socket} = request;
			back.target.answer(response, String(request.headers[meshHeaders.attemptId]));
			setTimeout(() => {
				socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${String(request.headers[meshHeaders.attemptId])}\r\n${meshHeaders.signature}: extra\r\nContent-Length: 2\r\n\r\nok`);
			}, 5);
		};

		await mesh.settle();
		for (let number = 0; number < 10; number++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other on one persistent connection
			const {status, headers} = await call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders(`a${number}`)});
			expect([200, 502]).toContain(status);
			expect([undefined, `i-back/a${number}`]).toContain(headers[meshHeaders.signature]);
		}
	});
});

describe('a target that resets idle connections', () => {
	it('fails one request, after which idle connections are closed in time', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		const answeredMs = new WeakMap<Socket, number>();
		back.target.behaviourOverride = ({socket, headers}, response) => {
			if (performance.now() - (answeredMs.get(socket) ?? Number.POSITIVE_INFINITY) > 80) {
				socket.resetAndDestroy();
			} else {
				back.target.answer(response, String(headers[meshHeaders.attemptId]));
				answeredMs.set(socket, performance.now());
			}
		};

		const statuses: number[] = [];
		for (let number = 0; number < 8; number++) {
			// eslint-disable-next-line no-await-in-loop -- the connection is idle in between
			statuses.push(await statusOf(front.settings.listen.requests.port, '/x/', `a${number}`, 'POST'));
			// eslint-disable-next-line no-await-in-loop
			await sleep(150);
		}

		expect(statuses.filter(status => status === 502)).toHaveLength(1);
	});
});

describe('a refusal', () => {
	it('by the target counts as not run, so that even an unsafe request is sent to another host', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const backs = [await mesh.addHost('back-1', target('i-1', 'back')), await mesh.addHost('back-2', target('i-2', 'back'))];
		backs[0].target.behaviourOverride = (request, response) => {
			response.writeHead(503, {[meshHeaders.notRun]: '1'});
			response.end();
		};

		await mesh.settle();
		const answers = await Promise.all(Array.from({length: 4}, async (_, number) => call(front.settings.listen.requests.port, '/x/', {method: 'POST', headers: createAttemptHeaders(`a${number}`)})));
		expect(answers.some(({status}) => status === 200)).toBe(true);
		for (const {status, headers} of answers) {
			expect(status === 200 || (status === 503 && Number(headers['retry-after']) > 0)).toBe(true);
		}
	});
});

describe('a target that deregisters', () => {
	it('gets no calls from any host after its drain time, even while the store is down', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair();
		const {requests, announcements} = front.settings.listen;
		expect(await statusOf(requests.port, '/x/', 'a1')).toBe(200);
		mesh.store.fault = 'down';
		mesh.store.wakeWatches();
		expect(await back.target.deregister(back.settings.listen.announcements.port)).toBe(200);
		await sleep(1000);
		const ran = back.target.ranAttemptIds.length;
		const {status} = await call(requests.port, '/x/', {headers: createAttemptHeaders('a2')});
		expect([status, back.target.ranAttemptIds.length]).toEqual([503, ran]);
		expect(announcements.port).toBeGreaterThan(0);
	});
});

describe('a host that stops responding', () => {
	it('delays one call, and no more until it responds again', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back')]));
		const dark = createServer();
		await new Promise<void>(resolve => {
			dark.listen(0, '127.0.0.1', resolve);
		});
		mesh.store.set(HOST_KIND, 'dark', {
			host: 'dark',
			failureDomain: 'a',
			address: `127.0.0.1:${(dark.address() as AddressInfo).port}`,
			target: {
				id: 'i-dark', service: 'back', slots: 4, state: 'ready',
			},
		});
		const front = await mesh.addHost('front', target('i-front', 'front'));
		await mesh.addHost('back', target('i-back', 'back'), 'b');
		await mesh.settle();
		const slow: number[] = [];
		const startMs = performance.now();
		for (let number = 0; performance.now() - startMs < 4000; number++) {
			const sentMs = performance.now();
			// eslint-disable-next-line no-await-in-loop -- one call after the other
			expect(await statusOf(front.settings.listen.requests.port, '/x/', `a${number}`)).toBe(200);
			if (performance.now() - sentMs > 300) {
				slow.push(sentMs - startMs);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(20);
		}

		dark.close();
		expect(slow).toHaveLength(1);
	});
});

describe('a host whose address was reassigned to another host', () => {
	it('is removed once the other host answers at its address, so that no call is sent there', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'ghost-service')]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const back = await mesh.addHost('back', target('i-back', 'back'));
		mesh.store.set(HOST_KIND, 'ghost', {
			host: 'ghost',
			failureDomain: 'a',
			address: `127.0.0.1:${back.settings.listen.peers.port}`,
			target: {
				id: 'i-ghost', service: 'ghost-service', slots: 4, state: 'ready',
			},
		});
		await mesh.settle();
		const {port} = front.settings.listen.requests;
		expect(await statusOf(port, '/x/', 'a0')).toBe(503);
		await sleep(2800);
		const countRefusedHops = () => mesh.logLines.filter(line => line.includes('event=owner_refused')).length;
		const before = countRefusedHops();
		expect(await statusOf(port, '/x/', 'a1')).toBe(503);
		expect(countRefusedHops()).toBe(before);
		expect(() => mesh.store.get(HOST_KIND, 'ghost')).toThrow();
	});
});

describe('a daemon whose target never announces itself', () => {
	it('removes the target from the store entry that an earlier start left', async () => {
		mesh = new Mesh();
		const lateHost = await mesh.addHost('late', target('i-gone', 'back'));
		await mesh.settle();
		await lateHost.stop();
		const publishedTargetId = () => (mesh.store.get(HOST_KIND, 'late').value as HostEntry).target?.id;
		expect(publishedTargetId()).toBe('i-gone');
		const muteTarget = Object.assign(lateHost.target, {announce: async () => 0});
		const {requests, peers, readiness, announcements} = lateHost.settings.listen;
		mesh.hosts.splice(0, 1, await mesh.startDaemon('late', muteTarget, [requests.port, peers.port, readiness.port, announcements.port]));
		await sleep(3000);
		expect(publishedTargetId()).toBeUndefined();
	});
});

describe('a graceful shutdown of a daemon', () => {
	it('cuts no request, and peers send theirs to another host', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const back = await mesh.addHost('back-1', target('i-1', 'back', {workMs: 40}));
		await mesh.addHost('back-2', target('i-2', 'back', {workMs: 40}));
		await mesh.settle();
		const stopped = back.stop();
		const statuses: number[] = [];
		for (let number = 0; number < 25; number++) {
			// eslint-disable-next-line no-await-in-loop -- sends a steady load
			statuses.push(await statusOf(front.settings.listen.requests.port, '/x/', `a${number}`, 'POST'));
		}

		await stopped;
		expect(new Set(statuses)).toEqual(new Set([200]));
	});
});

describe('a daemon without the store', () => {
	it('receives the configuration from the peers that link to it, and gets calls again', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back'), createRoute('y', 'front')]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const back = await mesh.addHost('back', target('i-back', 'back'));
		await mesh.settle();
		expect(await statusOf(front.settings.listen.requests.port, '/x/', 'a1')).toBe(200);
		mesh.store.fault = 'down';
		mesh.store.wakeWatches();
		await back.stop();
		const {requests, peers, readiness, announcements} = back.settings.listen;
		const restarted = await mesh.startDaemon('back', back.target, [requests.port, peers.port, readiness.port, announcements.port]);
		mesh.hosts.splice(1, 1, restarted);
		await sleep(1500);
		expect(await statusOf(requests.port, '/y/', 'a2')).toBe(200);
		expect(await statusOf(front.settings.listen.requests.port, '/x/', 'a3')).toBe(200);
	});
});

describe('a new configuration', () => {
	it('takes effect on all hosts, and no older one replaces it after the store lost its history', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'front')]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const back = await mesh.addHost('back', target('i-back', 'back'));
		await mesh.settle();
		mesh.configure(createSiteSpec([createRoute('x', 'back')], 2));
		await sleep(300);
		for (const {settings} of [front, back]) {
			// eslint-disable-next-line no-await-in-loop -- asks each host in turn
			const {headers} = await call(settings.listen.requests.port, '/x/', {headers: createAttemptHeaders('a1')});
			expect(headers[meshHeaders.signature]).toBe('i-back/a1');
		}

		mesh.store.compact();
		await sleep(200);
		expect(await signatureOf(front.settings.listen.requests.port, '/x/', 'a2')).toBe('i-back/a2');
	});
});

describe('pipelined requests', () => {
	it('are answered in order, and cancelled when their connection closes', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'front', {timeoutMs: LONG_MS, objectiveMs: LONG_MS})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		await mesh.settle();
		const send = (socket: Socket, id: string) => {
			socket.write(`GET /x/ HTTP/1.1\r\nHost: site\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.deadlineMs}: ${LONG_MS}\r\n\r\n`);
		};

		const socket = connect(front.settings.listen.requests.port, '127.0.0.1');
		let text = '';
		socket.on('data', data => {
			text += data.toString();
		});
		for (const id of ['p1', 'p2', 'p3']) {
			send(socket, id);
		}

		const answeredIds = () => [...text.matchAll(/signature: i-front\/(?<id>p\d)/gv)].map(({groups}) => groups!.id);
		await expect.poll(() => answeredIds().length, {timeout: LONG_MS}).toBe(3);
		expect(answeredIds()).toEqual(['p1', 'p2', 'p3']);
		const hung = front.target.hang();
		send(socket, 'p4');
		send(socket, 'p5');
		await expect.poll(() => hung.begun, {timeout: LONG_MS}).toBe(2);
		expect(hung.closed).toBe(0);
		socket.destroy();
		await expect.poll(() => hung.closed, {timeout: LONG_MS}).toBe(2);
	});
});

describe('a target that never answers', () => {
	const callMuteTarget = async (repeatability: 'safe' | 'unsafe') => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {objectiveMs: 400, timeoutMs: 500, repeatability})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const back = await mesh.addHost('back-1', target('i-1', 'back'));
		await mesh.addHost('back-2', target('i-2', 'back'), 'b');
		let runs = 0;
		back.target.behaviourOverride = () => {
			runs++;
		};

		await mesh.settle();
		const status = await statusOf(front.settings.listen.requests.port, '/x/', 'a1', 'POST');
		return [status, runs];
	};

	it('makes a safe request end with 504 at its timeout, without cutting and repeating its run', async () => {
		expect(await callMuteTarget('safe')).toEqual([504, 1]);
	});

	it('makes an unsafe request end with 504, without a second run', async () => {
		expect(await callMuteTarget('unsafe')).toEqual([504, 1]);
	});
});

describe('a host in its lame-duck state', () => {
	it('still gets calls, and none fails, until its owner refuses them', async () => {
		mesh = new Mesh({lameDuckMs: 1500});
		mesh.configure(createSiteSpec([createRoute('x', 'back')]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		const nearHost = await mesh.addHost('near', target('i-near', 'back'));
		await mesh.addHost('far', target('i-far', 'back'), 'b');
		await mesh.settle();
		const {port} = front.settings.listen.requests;
		await statusOf(port, '/x/', 'a0');
		const stopped = nearHost.stop();
		const before = nearHost.target.ranAttemptIds.length;
		await sleep(200);
		for (let number = 1; number <= 5; number++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			expect(await statusOf(port, '/x/', `a${number}`)).toBe(200);
		}

		expect(nearHost.target.ranAttemptIds.length - before).toBe(5);
		await stopped;
	});
});

describe('a second stop of a daemon', () => {
	it('waits for the requests in flight like the first', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		await mesh.addHost('back', target('i-back', 'back', {workMs: 500}));
		await mesh.settle();
		const {port} = front.settings.listen.requests;
		let isWritten = false;
		const onFinish = (message: unknown) => {
			const {request, socket} = message as {request: IncomingMessage; socket: Socket};
			isWritten ||= request.url === '/x/' && socket.localPort === port;
		};

		subscribe('http.server.response.finish', onFinish);
		const waiting = statusOf(port, '/x/', 'a1', 'POST');
		await sleep(50);
		void front.relay.stop();
		await front.relay.stop();
		unsubscribe('http.server.response.finish', onFinish);
		expect([isWritten, await waiting]).toEqual([true, 200]);
	});
});

describe('a graceful shutdown under clients that keep sending', () => {
	it('ends within 1.5 s, and every request that was read is answered', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
		const front = await mesh.addHost('front', target('i-front', 'front'));
		await mesh.addHost('back', target('i-back', 'back', {workMs: 150, slots: 50}));
		await mesh.settle();
		const statuses: number[] = [];
		const stop = new AbortController();
		const clients = Array.from({length: 6}, async (_, client) => {
			for (let number = 0; !stop.signal.aborted; number++) {
				// eslint-disable-next-line no-await-in-loop -- one request after the other
				const status = await statusOf(front.settings.listen.requests.port, '/x/', `c${client}-${number}`, 'POST');
				statuses.push(status);
				// eslint-disable-next-line no-await-in-loop -- keeps the clients out of step
				await sleep(5 + (client * 7));
			}
		});
		await sleep(200);
		const startMs = performance.now();
		await front.relay.stop();
		const tookMs = performance.now() - startMs;
		stop.abort();
		await Promise.all(clients);
		// Status 0 means that the connection was refused, so that no request was read.
		expect([tookMs < 1500, new Set(statuses)]).toEqual([true, new Set([200, 0])]);
	});
});
