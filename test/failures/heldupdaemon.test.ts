import {
	afterEach, describe, expect, it,
} from 'vitest';
import {holdUp} from '../../standins/holdup.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

/** Longer than a link with calls in flight may be silent. */
const LINK_PAUSE_MS = 2000;
/** Longer than a target may be silent. */
const TARGET_PAUSE_MS = 2800;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Adds two daemons; their process is held up as the target of a call has answered it, or is about to if `isAnswered` is false. */
async function addPair({service, timeoutMs, pauseMs, isAnswered = true}: {service: string; timeoutMs: number; pauseMs: number; isAnswered?: boolean}): Promise<number> {
	mesh = new Mesh();
	const routes = [createRoute('x', service, {timeoutMs, objectiveMs: timeoutMs, repeatability: 'unsafe'})];
	const hosts = await mesh.addPair({routes});
	const {target} = service === 'back' ? hosts.back : hosts.front;
	target.behaviourOverride = ({headers}, response) => {
		if (!isAnswered) {
			holdUp(pauseMs);
			setTimeout(() => {
				target.answer(response, String(headers[meshHeaders.attemptId]), 200);
			}, 300);
			return;
		}

		target.answer(response, String(headers[meshHeaders.attemptId]), 200);
		holdUp(pauseMs);
	};

	return hosts.port;
}

const send = async (port: number, deadlineMs: number) => call(port, '/x/', {headers: createAttemptHeaders('a', deadlineMs)});

// Guards against a daemon that takes its own pause for the silence or the lateness of others (LOST).
describe('a daemon that was held up', () => {
	it.each([{name: 'whose answer has arrived', isAnswered: true}, {name: 'that still runs', isAnswered: false}])('keeps the link of a call $name', async ({isAnswered}) => {
		const port = await addPair({
			service: 'back', timeoutMs: 8000, pauseMs: LINK_PAUSE_MS, isAnswered,
		});
		const {status} = await send(port, 8000);
		expect(mesh.logLines.filter(line => line.includes('event=link_closed'))).toEqual([]);
		expect(status).toBe(200);
	});

	it.each(['front', 'back'])('delivers an answer that its target gave in time: at %s', async service => {
		const port = await addPair({service, timeoutMs: 1000, pauseMs: 1100});
		const {status} = await send(port, 1000);
		expect(status).toBe(200);
	});

	it('keeps its target', async () => {
		const port = await addPair({service: 'front', timeoutMs: 8000, pauseMs: TARGET_PAUSE_MS});
		const {status} = await send(port, 8000);
		expect(status).toBe(200);
		expect(mesh.logLines.filter(line => line.includes('event=target_silent'))).toEqual([]);
	});
});
