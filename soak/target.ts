import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {meshHeaders} from '../standins/meshadapter.js';
import {MeshTarget} from '../standins/meshtarget.js';
import {decodeWork} from './work.js';

/** A target whose requests say in their paths what it takes to answer them. */
export class SoakTarget extends MeshTarget {
	override answer(response: ServerResponse, attemptId: string, status = 200, body?: Buffer<ArrayBuffer>): void {
		const work = decodeWork(response.req.url!);
		if (work === undefined || status !== 200) {
			super.answer(response, attemptId, status, body);
		} else if (work.chunks === 1) {
			super.answer(response, attemptId, status, contentOf(attemptId, work.chunkBytes));
		} else {
			void this.#stream(response, attemptId, work);
		}
	}

	protected override workMsOf(url: string): number {
		return decodeWork(url)?.workMs ?? super.workMsOf(url);
	}

	async #stream(response: ServerResponse, attemptId: string, {chunks, chunkBytes, pauseMs, hasLength}: NonNullable<ReturnType<typeof decodeWork>>): Promise<void> {
		const body = contentOf(attemptId, chunks * chunkBytes);
		response.writeHead(200, {[meshHeaders.attemptId]: attemptId, [meshHeaders.signature]: `${this.id}/${attemptId}`, ...(hasLength && {'content-length': body.length})});
		for (let index = 0; index < chunks && !response.destroyed; index++) {
			response.write(body.subarray(index * chunkBytes, (index + 1) * chunkBytes));
			// eslint-disable-next-line no-await-in-loop -- the chunks are spread over the time
			await sleep(pauseMs);
		}

		response.end();
	}
}

/** The body of a request or of its answer: whoever knows the attempt can check it. */
export function contentOf(attemptId: string, bytes: number): Buffer<ArrayBuffer> {
	return Buffer.alloc(bytes, `${attemptId} `);
}
