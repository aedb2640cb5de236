/** A client that speaks HTTP/1.1 on one connection, and notes each answer and how the connection ends. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

export const HOST = 'site.example';

/** The text of a request's head. */
export function headOf({
	method = 'GET', path, id, deadlineMs, more = {},
}) {
	const headers = {
		Host: HOST, 'X-Comfreydyke-Attempt-Id': id, 'X-Comfreydyke-Deadline-Ms': deadlineMs, ...more,
	};
	return `${method} ${path} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

export class Connection {
	/** The answers so far: status, headers, body and whether the connection is still to end before the answer is whole. */
	answers = [];
	/** Undefined while it is open; then `end` for an orderly end, otherwise the code of the error. */
	ending;
	endedMs;
	#socket;
	#buffer = Buffer.alloc(0);
	#current;
	#waiting = [];

	constructor({ip, port}) {
		this.#socket = connect({host: ip, port, noDelay: true});
		this.#socket.on('data', chunk => {
			this.#buffer = Buffer.concat([this.#buffer, chunk]);
			while (this.#parse()) {
				// One answer after the other.
			}

			this.#wake();
		});
		this.#socket.on('end', () => {
			if (this.#current?.length === undefined && this.#current?.isChunked === false) {
				this.answers.push({...this.#current, body: this.#buffer, isWhole: true});
				this.#current = undefined;
			}

			this.#end('end');
		});
		this.#socket.on('error', error => {
			this.#end(error.code);
		});
		this.#socket.on('close', () => {
			this.#end('closed');
		});
	}

	async opened() {
		await this.until(() => !this.#socket.connecting, 2000);
	}

	get socket() {
		return this.#socket;
	}

	send(bytes) {
		this.#socket.write(bytes);
	}

	close() {
		this.#socket.destroy();
	}

	/** Waits until a condition holds. @returns whether it did in time */
	async until(condition, limitMs) {
		const endMs = performance.now() + limitMs;
		while (!condition()) {
			const leftMs = endMs - performance.now();
			if (leftMs <= 0) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop -- looks again after each event
			await new Promise(resolve => {
				const timer = setTimeout(resolve, Math.min(leftMs, 20));
				this.#waiting.push(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		return true;
	}

	#end(how) {
		if (this.ending === undefined) {
			this.ending = how;
			this.endedMs = performance.now();
			this.#wake();
		}
	}

	#wake() {
		for (const resolve of this.#waiting.splice(0)) {
			resolve();
		}
	}

	/** @returns whether an answer was completed */
	#parse() {
		if (this.#current === undefined) {
			const end = this.#buffer.indexOf('\r\n\r\n');
			if (end === -1) {
				return false;
			}

			const [first, ...lines] = this.#buffer.subarray(0, end).toString('latin1').split('\r\n');
			const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
			this.#buffer = this.#buffer.subarray(end + 4);
			const length = headers['content-length'];
			this.#current = {
				status: Number(first.split(' ')[1]), headers, isChunked: headers['transfer-encoding'] === 'chunked', length: length && Number(length), chunks: [],
			};
		}

		const {length, isChunked} = this.#current;
		if (isChunked) {
			return this.#parseChunks();
		}

		if (length === undefined || this.#buffer.length < length) {
			return false;
		}

		this.#finish(this.#buffer.subarray(0, length), this.#buffer.subarray(length));
		return true;
	}

	#parseChunks() {
		for (;;) {
			const end = this.#buffer.indexOf('\r\n');
			const size = end === -1 ? Number.NaN : Number.parseInt(this.#buffer.subarray(0, end).toString(), 16);
			if (end === -1 || this.#buffer.length < end + 2 + size + 2) {
				return false;
			}

			this.#current.chunks.push(this.#buffer.subarray(end + 2, end + 2 + size));
			this.#buffer = this.#buffer.subarray(end + 2 + size + 2);
			if (size === 0) {
				this.#finish(Buffer.concat(this.#current.chunks), this.#buffer);
				return true;
			}
		}
	}

	#finish(body, rest) {
		this.answers.push({
			...this.#current, body, isWhole: true, atMs: performance.now(),
		});
		this.#current = undefined;
		this.#buffer = rest;
	}
}
