import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {traceAttempt} from '../../src/log/index.js';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

/** Many times what a run of 10 ms takes on a busy machine. */
const SLOW_MS = 600;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const readTrace = (id: string) => traceAttempt(id, mesh.logLines).join('\n');

describe('the trace of a request by its id', () => {
	it('shows the owner\'s full queue for a request that was refused under load', async () => {
		mesh = new Mesh();
		const {front} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: 1000})], back: {slots: 1, workMs: 400}});
		// The first call teaches the owner the service time, so that it refuses calls well before their deadlines.
		await call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders('first', 1000)});
		const answers = await Promise.all(Array.from({length: 12}, async (_, number) => call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders(`a${number}`, 1000)})));
		const refused = answers.findIndex(({status}) => status === 503);
		expect(refused).toBeGreaterThan(-1);
		expect(readTrace(`a${refused}`)).toMatch(/back +owner_refused .*reason=(?:full|expired) .*queued=\d+ limit=1/v);
		expect(readTrace(`a${refused}`)).toMatch(/front +refused .*status=503/v);
	});

	it('shows the broken run and then the answer to the client for a request that ended with 502 because its target died', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})], back: {slots: 4, workMs: 500}});
		const waiting = call(front.settings.listen.requests.port, '/x/', {method: 'POST', headers: createAttemptHeaders('a1')});
		await sleep(100);
		await back.target.close();
		const {status} = await waiting;
		expect(status).toBe(502);
		expect(readTrace('a1')).toMatch(/back +run_crashed .*fingerprint=[\da-f]{16} .*\n.*back +run_failed .*reason=crashed .*\n.*front +failed .*reason=crashed .*status=502/v);
	});

	it('shows a broken run, and no crash, for a request whose connection the target closed', async () => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		back.target.behaviourOverride = request => {
			request.socket.destroy();
		};

		const {status} = await call(front.settings.listen.requests.port, '/x/', {method: 'POST', headers: createAttemptHeaders('a1')});
		expect(status).toBe(502);
		expect(readTrace('a1')).toMatch(/back +run_failed .*reason=broken .*\n.*front +failed .*reason=broken .*status=502/v);
		expect(readTrace('a1')).not.toContain('run_crashed');
	});

	it('names the slow service in the nested call\'s line for a request that timed out behind it', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('top', 'front', {timeoutMs: 1200}), createRoute('deep', 'back', {timeoutMs: 300})]));
		const front = await mesh.addHost('front', {
			id: 'i-front', service: 'front', slots: 4, workMs: 1, calls: {'/top/': [{path: '/deep/', times: 1}]},
		});
		await mesh.addHost('back', {
			id: 'i-back', service: 'back', slots: 4, workMs: 1000,
		});
		await mesh.settle();
		const {status} = await call(front.settings.listen.requests.port, '/top/', {headers: createAttemptHeaders('a1')});
		expect(status).toBe(500);
		expect(readTrace('a1')).toMatch(/front +failed +attempt=a1\.0 route=deep service=back reason=timeout .*host=back/v);
	});
});

describe('a target that turns slow without failing', () => {
	it('is named by its own daemon and by the peers, with when it began and when it ended', async () => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({back: {slots: 4, workMs: 10}});
		let id = 0;
		const sendAll = async (count: number) => {
			for (let number = 0; number < count; number++) {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				await call(port, '/x/', {headers: createAttemptHeaders(`a${id++}`)});
			}
		};

		const eventsOf = (name: string) => mesh.logLines.filter(line => line.includes(`daemon=${name}`)).join('\n');
		// How many runs that takes on a busy machine isn't known; `targetspeed.test.ts` has the numbers.
		const sendUntilHeard = async (slowness: RegExp) => {
			const before = eventsOf(front.name).length;
			await expect.poll(async () => {
				await sendAll(1);
				return eventsOf(front.name).slice(before);
			}, {timeout: 20_000}).toMatch(slowness);
		};

		await sendAll(20);
		back.target.behaviourOverride = ({headers}, response) => {
			setTimeout(() => {
				back.target.answer(response, String(headers[meshHeaders.attemptId]));
			}, SLOW_MS);
		};

		await sendUntilHeard(/event=slowness_heard host=back slowness=(?:[2-9]|\d\d)/v);
		back.target.behaviourOverride = undefined;
		await sendUntilHeard(/event=slowness_heard host=back slowness=1\.0/v);
		expect(eventsOf('back')).toMatch(/event=target_slow instance=i-back slowness=[\d.]+ route=x workMs=\d+.*\n.*event=target_recovered instance=i-back slowForMs=\d+/v);
		expect(eventsOf(front.name)).toMatch(/event=slowness_heard host=back slowness=[\d.]+.*\n(?:.*\n)*.*event=slowness_heard host=back slowness=1\.0/v);
	});
});

describe('a target that sheds its calls at once', () => {
	it('is named by its own daemon while it does', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({back: {slots: 4, workMs: 5}});
		let id = 0;
		const sendAll = async (count: number) => {
			for (let number = 0; number < count; number++) {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				await call(port, '/x/', {headers: createAttemptHeaders(`a${id++}`)});
			}
		};

		await sendAll(5);
		back.target.behaviourOverride = (_request, response) => {
			response.writeHead(503, {[meshHeaders.notRun]: '1'});
			response.end();
		};

		await sendAll(12);
		back.target.behaviourOverride = undefined;
		await sendAll(30);
		const lines = mesh.logLines.filter(line => line.includes('daemon=back')).join('\n');
		expect(lines).toMatch(/event=target_failing instance=i-back route=x failureShare=0\.3\d.*\n(?:.*\n)*.*event=target_sound instance=i-back failingForMs=\d+/v);
	});
});

describe('a target that takes the place of a faster one', () => {
	it('isn\'t taken for a slow one', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({back: {slots: 4, workMs: 10}});
		let id = 0;
		const sendAll = async (count: number) => {
			for (let number = 0; number < count; number++) {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				await call(port, '/x/', {headers: createAttemptHeaders(`a${id++}`)});
			}
		};

		await sendAll(15);
		Object.assign(back.target.options, {id: 'i-next', workMs: 100});
		await back.target.announce(back.settings.listen.announcements.port);
		await mesh.settle();
		await sendAll(15);
		expect(mesh.logLines.filter(line => line.includes('event=target_slow'))).toEqual([]);
	});
});

describe('the log', () => {
	it('doesn\'t grow in proportion to the load: ten times the requests give less than three times the lines', async () => {
		mesh = new Mesh();
		const {front} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: 300})], back: {slots: 1, workMs: 100}});
		const countLines = async (requests: number) => {
			const before = mesh.logLines.length;
			await Promise.all(Array.from({length: requests}, async (_, number) => call(front.settings.listen.requests.port, '/x/', {headers: createAttemptHeaders(`${requests}-${number}`, 300)})));
			await sleep(1000);
			return mesh.logLines.length - before;
		};

		const baselineLines = await countLines(40);
		expect(await countLines(400)).toBeLessThan(baselineLines * 3);
		expect(mesh.logLines.some(line => line.includes('event=omitted'))).toBe(true);
	});
});
