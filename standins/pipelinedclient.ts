import {type Socket, connect} from 'node:net';
import {createAttemptHeaders} from './meshadapter.js';

/** The text of a request's head. @param more header lines besides those of each attempt, each with its line end */
export function buildHead(method: string, path: string, id: string, {more = '', deadlineMs}: {more?: string; deadlineMs?: number} = {}): string {
	const fields = Object.entries(createAttemptHeaders(id, deadlineMs)).map(([name, value]) => `${name}: ${value}\r\n`);
	return `${method} ${path} HTTP/1.1\r\n${fields.join('')}${more}\r\n`;
}

/** A client that writes requests to one connection as they are, and notes all that comes back. */
export class PipelinedClient {
	text = '';
	isClosed = false;
	/** Settles when the connection has ended, in whichever way. */
	readonly closed: Promise<void>;
	readonly #socket: Socket;

	constructor(port: number, host = '127.0.0.1') {
		this.#socket = connect(port, host);
		this.#socket.on('data', bytes => {
			this.text += bytes.toString('latin1');
		});
		this.#socket.on('error', () => undefined);
		this.closed = new Promise(resolve => {
			this.#socket.on('close', () => {
				this.isClosed = true;
				resolve();
			});
		});
	}

	/** The statuses of the answers whose heads have begun. */
	get statuses(): number[] {
		return [...this.text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => Number(groups!.status));
	}

	/** Whether an answer so far says that the connection closes after it. */
	get saysClose(): boolean {
		return /connection: close/iv.test(this.text);
	}

	send(text: string): void {
		this.#socket.write(text);
	}

	/** Reads nothing until `resume`, as a client that is slow or busy. */
	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}

	/** Closes its side in an orderly way. */
	end(): void {
		this.#socket.end();
	}

	close(): void {
		this.#socket.destroy();
	}
}
