import {Buffer} from 'node:buffer';
import {type Socket, connect} from 'node:net';
import {createAttemptHeaders, meshHeaders} from '../standins/meshadapter.js';
import {contentOf} from './target.js';
import {decodeWork} from './work.js';

const HEAD_END = '\r\n\r\n';
const CLOSED = 'connection closed';
const TOO_LATE = 408;

/** What became of a request on a pipelined connection; `status` is 0 if no part of an answer came. */
export type PipelinedOutcome = {
	readonly attemptId: string;
	readonly path: string;
	readonly sentMs: number;
	readonly lastByteMs: number | undefined;
	readonly status: number;
	readonly isWhole: boolean;
	readonly isRight: boolean;
	readonly headers: ReadonlyMap<string, string>;
	/** Whether an answer before it on the connection was due, or closed the connection. */
	readonly isBehind: boolean;
	readonly isOnUsedConnection: boolean;
	readonly error?: string;
};

type Pending = {readonly attemptId: string; readonly path: string; readonly sentMs: number; lastByteMs: number | undefined};

/** A client's connection on which further requests are sent before the first is answered. */
export class PipelinedConnection {
	readonly #socket: Socket;
	readonly #deadlineMs: number;
	readonly #onOutcome: (outcome: PipelinedOutcome) => void;
	readonly #pending: Pending[] = [];
	#received: Buffer = Buffer.alloc(0);
	#answers = 0;
	#error = CLOSED;
	#isClosing = false;

	constructor(port: number, deadlineMs: number, onOutcome: (outcome: PipelinedOutcome) => void) {
		this.#deadlineMs = deadlineMs;
		this.#onOutcome = onOutcome;
		this.#socket = connect(port, '127.0.0.1');
		this.#socket.setNoDelay();
		this.#socket.on('data', bytes => {
			this.#received = Buffer.concat([this.#received, bytes]);
			while (this.#readAnswer()) {
				this.#answers++;
			}
		});
		this.#socket.on('end', () => {
			// Otherwise it was reset: the operating system no longer knows the peer.
			if (this.#socket.remoteAddress !== undefined && this.#readAnswer(true)) {
				this.#answers++;
			}
		});
		this.#socket.on('error', (error: NodeJS.ErrnoException) => {
			this.#error = error.code ?? error.message;
		});
		this.#socket.on('close', () => {
			this.#onClose();
		});
	}

	/** Whether requests may be sent: the connection stands, and no answer has said that it closes. */
	get isUsable(): boolean {
		return !this.#isClosing && this.#socket.writable;
	}

	get pendingRequests(): number {
		return this.#pending.length;
	}

	/** How long the oldest request has waited for its answer, in ms. */
	get waitedMs(): number {
		return this.#pending.length === 0 ? 0 : Date.now() - this.#pending[0].sentMs;
	}

	/**
	 * Sends requests with one write, or with two.
	 * @param firstBytes how much it writes at once; the rest follows after `pauseMs`
	 */
	send(requests: ReadonlyArray<{readonly attemptId: string; readonly path: string}>, firstBytes = Number.POSITIVE_INFINITY, pauseMs = 0): void {
		const sent = requests.map((request): Pending => ({...request, sentMs: Date.now(), lastByteMs: undefined}));
		this.#pending.push(...sent);
		const text = sent.map(({attemptId, path}) => {
			const fields = Object.entries(createAttemptHeaders(attemptId, this.#deadlineMs)).map(([name, value]) => `${name}: ${value}\r\n`);
			return `GET ${path} HTTP/1.1\r\n${fields.join('')}\r\n`;
		}).join('');
		const sendRest = () => {
			if (this.#socket.writable) {
				this.#socket.write(text.slice(firstBytes), error => {
					for (const pending of sent) {
						pending.lastByteMs = error ? undefined : Date.now();
					}
				});
			}
		};

		this.#socket.write(text.slice(0, firstBytes));
		if (firstBytes < text.length) {
			setTimeout(sendRest, pauseMs);
		} else {
			sendRest();
		}
	}

	/** @param reason the error of the requests that have no answer */
	close(reason: string): void {
		this.#socket.destroy(new Error(reason));
	}

	/** Takes a whole answer from what was received. @param isAtEnd whether the connection has ended, as an answer without a length does @returns whether there was one */
	#readAnswer(isAtEnd = false): boolean {
		const head = this.#readHead();
		const endsAt = head?.endsAt ?? (isAtEnd ? this.#received.length : Number.POSITIVE_INFINITY);
		if (head === undefined || this.#received.length < endsAt) {
			return false;
		}

		const {status, headers, bodyAt} = head;
		const body = this.#received.subarray(bodyAt, endsAt);
		this.#received = this.#received.subarray(endsAt);
		this.#isClosing ||= headers.get('connection') === 'close';
		if (status === TOO_LATE && this.#pending.length === 0) {
			// The connection was silent for too long.
			return true;
		}

		const pending = this.#pending.shift() ?? {
			attemptId: 'nobody', path: '', sentMs: Date.now(), lastByteMs: undefined,
		};
		const expected = status === 200 ? contentOf(pending.attemptId, decodeWork(pending.path)?.chunkBytes ?? 0) : undefined;
		this.#end(pending, {
			status, headers, isWhole: true, isBehind: false,
			// The daemon's own answers needn't name the attempt.
			isRight: pending.path !== '' && (headers.get(meshHeaders.attemptId) ?? pending.attemptId) === pending.attemptId && (expected === undefined || body.equals(expected)),
		});
		return true;
	}

	#readHead(): {status: number; headers: Map<string, string>; bodyAt: number; endsAt: number | undefined} | undefined {
		const headEnd = this.#received.indexOf(HEAD_END);
		if (headEnd === -1) {
			return undefined;
		}

		const [statusLine, ...lines] = this.#received.toString('latin1', 0, headEnd).split('\r\n');
		const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const bodyAt = headEnd + HEAD_END.length;
		const length = headers.get('content-length');
		return {
			status: Number(/^HTTP\/1\.1 (?<status>\d{3}) /v.exec(`${statusLine} `)?.groups?.status ?? 0), headers, bodyAt, endsAt: length === undefined ? undefined : bodyAt + Number(length),
		};
	}

	#onClose(): void {
		const partial = this.#readHead();
		for (const [index, pending] of this.#pending.splice(0).entries()) {
			const isCut = index === 0 && partial !== undefined;
			this.#end(pending, {
				status: isCut ? partial.status : 0, headers: isCut ? partial.headers : new Map(), isWhole: false, isRight: true, isBehind: index > 0 || this.#isClosing,
			});
		}
	}

	#end({attemptId, path, sentMs, lastByteMs}: Pending, seen: Pick<PipelinedOutcome, 'status' | 'headers' | 'isWhole' | 'isRight' | 'isBehind'>): void {
		this.#onOutcome({
			attemptId, path, sentMs, lastByteMs, isOnUsedConnection: this.#answers > 0, ...(seen.status === 0 && {error: this.#error}), ...seen,
		});
	}
}
