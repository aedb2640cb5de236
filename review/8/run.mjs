/** An upstream that begins a long answer before it has read all of a long body, and reads on, never gets the rest: neither the run nor the answer ends. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Agent} from 'node:http';
import {createConfig} from '../lib-2/fleet.mjs';
import {exchange, readBytes} from '../lib-2/http.mjs';
import {isTroubled, runCase} from '../lib-2/record.mjs';
import {splitAddress} from '../lib-2/upstream.mjs';

const REQUESTS = 6;
const BODY_BYTES = 4_000_000;
/** How much of the body the upstream reads before it begins its answer, and how much it answers before it reads on. */
const READ_FIRST_BYTES = 100_000;
const ANSWER_FIRST_BYTES = 200_000;
const MAX_LOST = 3;

await runCase(import.meta.dirname, async (fleet, note) => {
	const finished = new Map();
	const answer = async ({request, response, headers, run}) => {
		const tail = Buffer.from('the end of the answer');
		const first = Buffer.alloc(ANSWER_FIRST_BYTES, 'a');
		const chunks = [];
		let length = 0;
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		if (!isTroubled) {
			chunks.push(await readBytes(request));
			response.writeHead(200, {...headers, 'content-length': first.length + tail.length});
			response.write(first);
		} else {
			let hasBegun = false;
			for await (const chunk of request) {
				chunks.push(chunk);
				length += chunk.length;
				if (!hasBegun && length >= READ_FIRST_BYTES) {
					hasBegun = true;
					response.writeHead(200, {...headers, 'content-length': first.length + tail.length});
					response.write(first);
				}
			}
		}

		finished.set(run.id, createHash('sha256').update(Buffer.concat(chunks)).digest('hex'));
		response.end(tail);
	};

	await fleet.start([{service: 'portal', slots: 8, workMs: 5}, {service: 'submissions', slots: 8, workMs: 100, answer}], createConfig([
		{name: 'submit', service: 'submissions', kind: 'unsafe', timeoutMs: 4000},
		{name: 'status', service: 'portal'},
	]));
	const [first, second] = fleet.machines;
	let lost = 0;
	for (let index = 1; index <= REQUESTS; index++) {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const headers = {host: 'site.example', 'x-comfreydyke-deadline-ms': '5000'};
		await exchange({
			...splitAddress(first.outbound), path: '/status/1', headers: {...headers, 'x-comfreydyke-attempt-id': `before-${index}`}, agent,
		});
		const id = `client-${index}`;
		const sentMs = Date.now();
		const {status, error, body} = await exchange({
			...splitAddress(first.outbound), method: 'POST', path: '/submit/1', headers: {...headers, 'x-comfreydyke-attempt-id': id, 'content-length': BODY_BYTES}, body: Buffer.alloc(BODY_BYTES, 'b'), agent,
		});
		const isRun = second.upstream.runs.some(run => run.id === id);
		note(`${id}: status ${status} ${error ?? ''} after ${Date.now() - sentMs} ms, ${body.length} bytes of the answer; the upstream ${isRun ? 'began' : 'did not begin'} the run and ${finished.has(id) ? 'got the whole body' : 'did not get the whole body'}`);
		lost += status === 0 && isRun ? 1 : 0;
		agent.destroy();
	}

	return lost <= MAX_LOST ? undefined : `LOST: ${lost} requests from kept connections were passed on to a sound upstream, and their connections closed without a whole answer`;
});
