import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {meshHeaders} from '../standins/meshadapter.js';
import {MeshTarget} from '../standins/meshtarget.js';
import {decodeWork} from './work.js';

/** The body of an answer to a request that asks for no work. */
export const PLAIN_BODY = 'x'.repeat(10);
/** How late the target sends an answer again, in ms: at times while the next one is under way on the connection. */
const COPY_DELAYS_MS = [5, 15, 40];
/** How long the target takes between the two halves of an answer without a length, in ms. */
const HALF_MS = 20;
/** What becomes of each answer in turn while the target spoils its answers. */
const SPOILT = ['unframed', 'whole', 'cut', 'twice', 'unframed', 'twice'] as const;

/** Statuses that no answer has, and how many answers in turn have one of these while the target sends them. */
const ODD_STATUSES = ['000', '700', '101', '099'];
const ODD_EVERY = 3;

type Spoilt = typeof SPOILT[number];

/** A target whose requests say in their paths what it takes to answer them. */
export class SoakTarget extends MeshTarget {
	/** Whether some answers have no length, some of these are cut, and some are sent twice. */
	isSpoiling = false;
	/** Whether some answers have a status that no answer has. */
	isOdd = false;
	/** Whether it announces that it drains. */
	isDraining = false;
	/** When its daemon first acknowledged that, in ms since 1970. */
	drainAcknowledgedMs: number | undefined;
	#answers = 0;
	/** The connections on which it has answered. */
	readonly #usedSockets = new WeakSet<Socket>();

	override answer(response: ServerResponse, attemptId: string, status = 200, body?: Buffer<ArrayBuffer>): void {
		const isOnUsedConnection = this.#usedSockets.has(response.req.socket);
		this.#usedSockets.add(response.req.socket);
		if (this.isOdd && status === 200 && this.#answers++ % ODD_EVERY === 0) {
			this.#answerOddly(response, attemptId);
			return;
		}

		const work = decodeWork(response.req.url!);
		const content = body ?? (work === undefined ? Buffer.from(PLAIN_BODY) : contentOf(attemptId, work.chunks * work.chunkBytes));
		const spoilt: Spoilt = this.isSpoiling && status === 200 ? SPOILT[this.#answers++ % SPOILT.length] : 'whole';
		if (spoilt === 'unframed' || spoilt === 'cut') {
			if (isOnUsedConnection) {
				// Its daemon breaks it off: all that comes until the end of the connection would be the body (docs/incidents/inc14-ends-without-framing.md).
				this.spoil(response, 'unframed');
			}

			void this.#answerUnframed(response, attemptId, content, spoilt === 'cut');
		} else if (work === undefined || status !== 200 || work.chunks === 1) {
			super.answer(response, attemptId, status, content);
			if (spoilt === 'twice') {
				this.#repeat(response, attemptId, content);
			}
		} else {
			void this.#stream(response, attemptId, work);
		}
	}

	override async announce(port: number): Promise<number> {
		const {isDraining} = this;
		const status = await super.announce(port, isDraining ? 'draining' : 'ready');
		if (isDraining && status === 200) {
			this.drainAcknowledgedMs ??= Date.now();
		}

		return status;
	}

	protected override workMsOf(url: string): number {
		return decodeWork(url)?.workMs ?? super.workMsOf(url);
	}

	async #stream(response: ServerResponse, attemptId: string, {chunks, chunkBytes, pauseMs, hasLength}: NonNullable<ReturnType<typeof decodeWork>>): Promise<void> {
		const body = contentOf(attemptId, chunks * chunkBytes);
		response.writeHead(200, {...this.#sign(attemptId), ...(hasLength && {'content-length': body.length})});
		for (let index = 0; index < chunks && !response.destroyed; index++) {
			response.write(body.subarray(index * chunkBytes, (index + 1) * chunkBytes));
			// eslint-disable-next-line no-await-in-loop -- the chunks are spread over the time
			await sleep(pauseMs);
		}

		response.end();
	}

	/** Sends an answer that ends with its connection, or only a half of it and a reset right behind. */
	async #answerUnframed(response: ServerResponse, attemptId: string, body: Buffer, isCut: boolean): Promise<void> {
		const half = Math.floor(body.length / 2);
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.writeHead(200, this.#sign(attemptId));
		response.write(body.subarray(0, half));
		if (isCut) {
			setImmediate(() => {
				this.cut(response);
			});
			return;
		}

		await sleep(HALF_MS);
		response.end(body.subarray(half));
	}

	#answerOddly(response: ServerResponse, attemptId: string): void {
		const fields = Object.entries(this.#sign(attemptId)).map(([name, value]) => `${name}: ${value}\r\n`);
		this.spoil(response);
		response.socket?.write(`HTTP/1.1 ${ODD_STATUSES[this.#answers % ODD_STATUSES.length]} Odd\r\n${fields.join('')}content-length: 0\r\n\r\n`);
	}

	/** Sends the answer a second time, as a target that stutters. */
	#repeat({socket}: ServerResponse, attemptId: string, body: Buffer): void {
		const fields = Object.entries({...this.#sign(attemptId), 'content-length': body.length}).map(([name, value]) => `${name}: ${value}\r\n`);
		setTimeout(() => {
			socket?.write(Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${fields.join('')}\r\n`), body]));
		}, COPY_DELAYS_MS[this.#answers % COPY_DELAYS_MS.length]);
	}

	#sign(attemptId: string): Record<string, string> {
		return {[meshHeaders.attemptId]: attemptId, [meshHeaders.signature]: `${this.id}/${attemptId}`};
	}
}

/** The body of a request or of its answer: whoever knows the attempt can check it. */
export function contentOf(attemptId: string, bytes: number): Buffer<ArrayBuffer> {
	return Buffer.alloc(bytes, `${attemptId} `);
}
