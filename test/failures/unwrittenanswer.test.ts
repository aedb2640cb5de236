import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {buildHead} from '../../standins/pipelinedclient.js';

/** The answers' sizes in bytes: a connection takes some megabytes before its reader does, and the daemon has a little more on its way. */
const SIZES = Array.from({length: 32}, (_, index) => 2_000_000 + (index * 160_000));

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** A client that reads nothing until it is told to. */
class PausedClient {
	receivedBytes = 0;
	/** How its connection ended. */
	end: 'end' | 'reset' | undefined;
	readonly #socket;

	constructor(port: number, text: string) {
		this.#socket = connect(port, '127.0.0.1');
		this.#socket.pause();
		this.#socket.write(text);
		this.#socket.on('data', bytes => {
			this.receivedBytes += bytes.length;
		});
		// A reset that is found together with data is reported as an end, too; the peer of the connection is unknown then.
		this.#socket.prependListener('end', () => {
			this.end ??= this.#socket.remoteAddress === undefined ? 'reset' : 'end';
		});
		this.#socket.on('error', () => {
			this.end ??= 'reset';
		});
	}

	resume(): void {
		this.#socket.resume();
	}
}

describe('an answer without a length that a client reads slowly while its daemon stops', () => {
	// Guards against a part of an answer that looks whole (MIXED): the daemon had all of it, and ended before it was written.
	it('is whole, or its connection is reset', async () => {
		mesh = new Mesh({graceMs: 4000});
		const {front, back: {target}, port} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: 8000})], back: {slots: 2 * SIZES.length}});
		const sizeOf = (url: string) => Number(url.split('/')[2]);
		let begun = 0;
		target.behaviourOverride = ({url, headers, socket}) => {
			begun++;
			socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${String(headers[meshHeaders.attemptId])}\r\n${meshHeaders.signature}: s\r\nconnection: close\r\n\r\n`);
			socket.end(Buffer.alloc(sizeOf(url!), 'x'));
		};

		const clients = SIZES.map(size => new PausedClient(port, buildHead('GET', `/x/${size}`, `a${size}`, {deadlineMs: 8000})));
		// One that comes after the stop is refused, which needs no reset.
		await expect.poll(() => begun, {timeout: 3000}).toBe(SIZES.length);
		await sleep(500);
		await front.stop();
		for (const client of clients) {
			client.resume();
		}

		await expect.poll(() => clients.every(({end}) => end !== undefined), {timeout: 5000}).toBe(true);
		const results = clients.map(({end, receivedBytes}, index) => ({size: SIZES[index], end, isWhole: receivedBytes > SIZES[index]}));
		expect(results.filter(({end, isWhole}) => (end === 'end') !== isWhole)).toEqual([]);
		// Of these the daemon had all.
		const isCut = (size: number) => mesh.logLines.some(line => line.includes(`event=answer_cut attempt=a${size} `));
		expect(results.filter(({size, end}) => end === 'reset' && !isCut(size))).not.toEqual([]);
	});
});
