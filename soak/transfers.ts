import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Random} from '../fakes/index.js';
import {createAttemptHeaders, meshHeaders} from '../standins/meshadapter.js';
import {type SentRequest} from './callers.js';
import {contentOf} from './target.js';
import {STREAM_PREFIX, UPLOAD_PREFIX, encodeWork} from './work.js';

/** A request whose body is sent, or whose answer is read, over some time. */
export type Transfer = {
	readonly path: string;
	/** The body, in chunks with a pause after each; none for a GET. */
	readonly upload: {readonly chunks: number; readonly chunkBytes: number; readonly pauseMs: number; readonly hasLength: boolean} | undefined;
	readonly answerBytes: number;
	/** How long the client takes to read each 16 KiB of the answer, in ms. */
	readonly readPauseMs: number;
};

/** Where and as what a transfer is sent. */
export type TransferOptions = {readonly port: number; readonly attemptId: string; readonly deadlineMs: number; readonly agent: Agent | false};

const READ_BYTES = 16_384;
const SLOWLY_READ_BYTES = 700_000;
/** Longer than any freeze and any deadline. */
const MAX_WAIT_MS = 12_000;

/** Creates the transfers of each stream. */
export const TRANSFERS: Readonly<Record<string, (random: Random) => Transfer>> = {
	upload(random) {
		return {
			path: encodeWork(UPLOAD_PREFIX, {
				workMs: random.pick([5, 50, 300]), chunks: 1, chunkBytes: 20, pauseMs: 0, hasLength: true,
			}),
			upload: {
				chunks: 2 + random.below(12), chunkBytes: random.pick([500, 8000, 40_000]), pauseMs: Math.round(random.between(5, 250)), hasLength: random.chance(0.5),
			},
			answerBytes: 20,
			readPauseMs: 0,
		};
	},
	stream(random) {
		const work = {
			workMs: random.pick([5, 50]), chunks: 3 + random.below(18), chunkBytes: 10_007 + random.below(50_000), pauseMs: Math.round(random.between(5, 180)), hasLength: random.chance(0.5),
		};
		return {
			path: encodeWork(STREAM_PREFIX, work), upload: undefined, answerBytes: work.chunks * work.chunkBytes, readPauseMs: 0,
		};
	},
	reader(random) {
		const work = {
			workMs: 5, chunks: 1, chunkBytes: SLOWLY_READ_BYTES, pauseMs: 0, hasLength: true,
		};
		return {
			path: encodeWork(STREAM_PREFIX, work), upload: undefined, answerBytes: SLOWLY_READ_BYTES, readPauseMs: random.between(10, 70),
		};
	},
};

type Outcome = Pick<SentRequest, 'status' | 'isWhole' | 'isRight' | 'isSigned' | 'isNotRun' | 'answeredAttemptId' | 'lastByteMs' | 'bodyDigest' | 'isOnUsedConnection' | 'error'>;

/** Sends a request and reads its answer. */
export async function transfer({path, upload, answerBytes, readPauseMs}: Transfer, {
	port, attemptId, deadlineMs, agent,
}: TransferOptions): Promise<Outcome> {
	const body = upload === undefined ? undefined : contentOf(attemptId, upload.chunks * upload.chunkBytes);
	let lastByteMs: number | undefined;
	let isAnswering = false;
	return new Promise(resolve => {
		const end = (seen: Partial<Outcome>) => {
			isAnswering = true;
			resolve({
				status: 0, isWhole: false, isRight: true, isSigned: false, isNotRun: false, answeredAttemptId: undefined, lastByteMs, bodyDigest: body && digestOf(body), isOnUsedConnection: request.reusedSocket, ...seen,
			});
		};

		const headers = {...createAttemptHeaders(attemptId, deadlineMs), ...(upload?.hasLength === true && {'content-length': body!.length})};
		const request = httpRequest({
			host: '127.0.0.1', port, path, method: body === undefined ? 'GET' : 'POST', headers, agent, timeout: MAX_WAIT_MS,
		});
		const onResponse = async (response: IncomingMessage) => {
			isAnswering = true;
			const read = await readAnswer(response, response.statusCode === 200 ? contentOf(attemptId, answerBytes) : undefined, readPauseMs);
			const {headers} = response;
			end({
				...read, status: response.statusCode!, isSigned: headers[meshHeaders.signature] !== undefined, isNotRun: headers[meshHeaders.notRun] !== undefined, answeredAttemptId: headers[meshHeaders.attemptId] as string | undefined,
			});
			if (!request.writableEnded) {
				request.destroy();
			}
		};

		request.on('response', response => {
			void onResponse(response);
		});
		request.on('timeout', () => {
			request.destroy(new Error('no answer in time'));
		});
		request.on('error', (error: NodeJS.ErrnoException) => {
			if (!isAnswering) {
				end({error: error.code ?? error.message});
			}
		});
		request.on('finish', () => {
			lastByteMs = Date.now();
		});
		void sendBody(request, body, upload, () => isAnswering);
	});
}

async function sendBody(request: ReturnType<typeof httpRequest>, body: Buffer | undefined, upload: Transfer['upload'], isOver: () => boolean): Promise<void> {
	const {chunks, chunkBytes, pauseMs} = upload ?? {chunks: 0, chunkBytes: 0, pauseMs: 0};
	for (let index = 0; index < chunks; index++) {
		request.write(body!.subarray(index * chunkBytes, (index + 1) * chunkBytes));
		// eslint-disable-next-line no-await-in-loop -- the chunks are spread over the time
		await sleep(pauseMs);
		if (isOver()) {
			return;
		}
	}

	request.end();
}

async function readAnswer(response: IncomingMessage, expected: Buffer | undefined, pauseMs: number): Promise<{isWhole: boolean; isRight: boolean}> {
	let length = 0;
	let isRight = true;
	try {
		for await (const chunk of response as AsyncIterable<Buffer>) {
			isRight &&= expected === undefined || chunk.equals(expected.subarray(length, length + chunk.length));
			length += chunk.length;
			await sleep(pauseMs * chunk.length / READ_BYTES);
		}
	} catch {
		return {isWhole: false, isRight};
	}

	return {isWhole: response.complete, isRight: isRight && (expected === undefined || !response.complete || length === expected.length)};
}

/** The digest by which a target's body is compared with the one that was sent. */
export function digestOf(body: Buffer): string {
	return createHash('sha256').update(body).digest('hex');
}
