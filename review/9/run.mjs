/** An upstream sends bytes that are no answer, and its daemon stands still for seconds: its clients get no answer at their route's timeout. */
/* eslint-disable no-await-in-loop -- what happens in a case comes one after the other */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig} from '../lib-2/fleet.mjs';
import {exchange} from '../lib-2/http.mjs';
import {isTroubled, runCase} from '../lib-2/record.mjs';
import {splitAddress} from '../lib-2/upstream.mjs';

const REQUEST_MS = 20;
const LOAD_MS = 12_000;
const TIMEOUT_MS = 500;
const GRACE_MS = 500;
/** The upstream answers every 50th request with bytes that are no answer, a share of 0.02, and when it begins to. */
const SPOIL_EVERY = 50;
const SPOIL_FROM_MS = 3000;
/** Heads with a status that no answer has, and nothing behind them. */
const SPOILED = ['HTTP/1.1 000 None\r\n\r\n', 'HTTP/1.1 101 Switching Protocols\r\n\r\n'];
const PROBE_MS = 100;

await runCase(path.join(import.meta.dirname, 'record.txt'), async (fleet, note) => {
	let spoilsFromMs = Number.POSITIVE_INFINITY;
	let spoilable = 0;
	let spoiled = 0;
	const answer = async ({request, response, headers, run}) => {
		request.resume();
		await sleep(60);
		if (Date.now() >= spoilsFromMs && ++spoilable % SPOIL_EVERY === 1) {
			spoiled++;
			response.socket.write(SPOILED[spoiled % SPOILED.length]);
			return;
		}

		const body = `answer to ${run.id}`;
		response.writeHead(200, {...headers, 'content-length': body.length});
		response.end(body);
	};

	const assessments = {
		service: 'assessments', slots: 60, workMs: 60, answer,
	};
	await fleet.start([assessments, {service: 'portal', slots: 20, workMs: 5}], createConfig([
		{name: 'book', service: 'assessments', timeoutMs: TIMEOUT_MS},
		{name: 'status', service: 'portal'},
	]));
	const [machine] = fleet.machines;
	let longestMs = 0;
	const end = new AbortController();
	const probing = (async () => {
		while (!end.signal.aborted) {
			const askedMs = Date.now();
			await exchange({...splitAddress(machine.settings.listen_addrs.ready), path: '/v1/readiness'});
			longestMs = Math.max(longestMs, Date.now() - askedMs);
			await sleep(PROBE_MS);
		}
	})();
	const startMs = Date.now();
	spoilsFromMs = isTroubled ? startMs + SPOIL_FROM_MS : spoilsFromMs;
	const results = [];
	for (let count = 1; Date.now() - startMs < LOAD_MS; count++) {
		const id = `client-${count}`;
		results.push((async () => {
			const sentMs = Date.now();
			const {status} = await exchange({
				...splitAddress(machine.outbound), path: '/book/1', headers: {host: 'site.example', 'x-comfreydyke-attempt-id': id, 'x-comfreydyke-deadline-ms': '5000'},
			});
			return {
				id, status, sentMs, tookMs: Date.now() - sentMs,
			};
		})());
		await sleep(REQUEST_MS);
	}

	const answers = await Promise.all(results);
	end.abort();
	await probing;
	const late = answers.filter(({tookMs}) => tookMs > TIMEOUT_MS);
	const broken = late.filter(({tookMs}) => tookMs > TIMEOUT_MS + GRACE_MS);
	note(`${answers.length} requests, ${spoiled} answers spoiled; the daemon's longest time for a readiness check was ${longestMs} ms`);
	for (const {id, status, sentMs, tookMs} of broken) {
		note(`${id}, sent at ${sentMs - startMs} ms, had no answer until ${tookMs} ms, then ${status}`);
	}

	const isBroken = broken.length >= 8 && broken.length * 2 > late.length;
	return isBroken ? `CONFIG: ${broken.length} of the ${late.length} requests that were unanswered at their route's timeout had no answer ${GRACE_MS} ms later` : undefined;
});
