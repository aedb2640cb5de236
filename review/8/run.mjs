/** An upstream that says it is draining, and whose daemon is killed and started again, gets requests long after `drain_ms`. */

import {Agent} from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {BOUNDS, createConfig} from '../lib-2/fleet.mjs';
import {exchange} from '../lib-2/http.mjs';
import {isTroubled, runCase} from '../lib-2/record.mjs';
import {HEARTBEAT_MS, splitAddress} from '../lib-2/upstream.mjs';

const REQUEST_MS = 50;
const WORK_MS = 300;
/** How long after the acknowledgement the daemon is killed at the earliest, and how long it is down, in ms. */
const KILL_AFTER_MS = 3500;
const DOWN_MS = 500;
/** How long after the daemon's start the upstream sends its next heartbeat, and how late that one arrives, in ms. */
const FIRST_BEAT_MS = 1300;
const LATE_MS = 2000;
/** How long after that start the upstream exits, at the end of its drain, and how long the clients go on, in ms. */
const EXIT_MS = 3800;
const AFTER_MS = 2000;

await runCase(path.join(import.meta.dirname, 'record.txt'), async (fleet, note) => {
	await fleet.start([{service: 'portal', slots: 8, workMs: 5}, {service: 'submissions', slots: 20, workMs: WORK_MS}], createConfig([
		{
			name: 'submit', service: 'submissions', kind: 'unsafe', timeoutMs: 2000,
		},
		{name: 'status', service: 'portal'},
	]));
	const [first, machine] = fleet.machines;
	const {upstream} = machine;
	const agent = new Agent({keepAlive: true});
	const statuses = new Map();
	let count = 0;
	const sending = setInterval(async () => {
		const id = `client-${++count}`;
		const {status} = await exchange({
			...splitAddress(first.outbound), method: 'POST', path: '/submit/1', headers: {
				host: 'site.example', 'x-comfreydyke-attempt-id': id, 'x-comfreydyke-deadline-ms': '2000', 'content-length': 4,
			}, body: 'body', agent,
		});
		statuses.set(id, status);
	}, REQUEST_MS);

	await sleep(2000);
	let acknowledgedMs = Number.POSITIVE_INFINITY;
	upstream.onAcknowledged = (state, atMs) => {
		note(`a heartbeat of ${upstream.id} is acknowledged: ${state}`);
		acknowledgedMs = state === 'draining' ? Math.min(acknowledgedMs, atMs) : acknowledgedMs;
	};

	upstream.state = 'draining';
	await sleep(HEARTBEAT_MS + KILL_AFTER_MS);
	if (isTroubled) {
		// The phase of the heartbeats decides when the next one comes after the start.
		const untilNextMs = HEARTBEAT_MS - ((Date.now() - upstream.beatMs) % HEARTBEAT_MS);
		await sleep(untilNextMs + (2 * HEARTBEAT_MS) - FIRST_BEAT_MS - DOWN_MS);
		await machine.kill();
		note('the daemon beside the draining upstream is killed');
		await sleep(DOWN_MS);
		upstream.heartbeatDelayMs = () => Date.now() - machine.startedMs < HEARTBEAT_MS ? LATE_MS : 0;
		machine.startAgain();
		note('it is started again');
	}

	await sleep(EXIT_MS);
	await upstream.leave(machine.control);
	note(`${upstream.id} has deregistered and exits`);
	await sleep(AFTER_MS);
	clearInterval(sending);
	await sleep(2500);
	const late = upstream.runs.filter(({atMs}) => atMs > acknowledgedMs + BOUNDS.drain_ms);
	const broken = late.filter(({atMs}) => atMs >= machine.startedMs + BOUNDS.contact_ms);
	const countOf = wanted => [...statuses.values()].filter(status => status === wanted).length;
	note(`${count} requests sent, ${countOf(200)} answered, ${countOf(503)} refused with 503, ${countOf(502)} failed with 502`);
	for (const {id, atMs} of late) {
		note(`${upstream.id} ran ${id} ${atMs - acknowledgedMs} ms after the acknowledgement, ${atMs - machine.startedMs} ms after its daemon's start; the client got ${statuses.get(id)}`);
	}

	agent.destroy();
	return broken.length === 0 ? undefined : `DRAIN: ${broken.length} requests reached ${upstream.id} later than ${BOUNDS.drain_ms} ms after its leaving was acknowledged, sent by machines in touch`;
});
