import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const BODY_BYTES = 2_000_000;
const READ_FIRST_BYTES = 100_000;
/** More than fits into one frame, so that the answer is streamed. */
const ANSWER_BYTES = 200_000;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Begins the answer once a part of the body is there, and ends it with the number of the bytes that have arrived once that is whole. */
async function answerEarly(request: IncomingMessage, response: ServerResponse, {isUnframed}: {readonly isUnframed: boolean}): Promise<void> {
	const id = String(request.headers[meshHeaders.attemptId]);
	let received = 0;
	for await (const chunk of request) {
		const before = received;
		received += (chunk as Buffer).length;
		if (before < READ_FIRST_BYTES && received >= READ_FIRST_BYTES) {
			response.writeHead(200, {
				[meshHeaders.attemptId]: id, [meshHeaders.signature]: `of-${id}`, ...(isUnframed ? {connection: 'close', 'transfer-encoding': 'identity'} : {'content-length': ANSWER_BYTES + 8}),
			});
			response.write(Buffer.alloc(ANSWER_BYTES, 'a'));
		}
	}

	response.end(String(received).padStart(8));
}

describe('an upload whose answer begins before its target has read it', () => {
	// Guards against an upload that stands still once its answer has begun, until the connection is reset at the timeout (CONFIG).
	it.each([
		{name: 'across two daemons', isLocal: false, isUnframed: false},
		{name: 'beside the target', isLocal: true, isUnframed: false},
		{name: 'with an answer without a length', isLocal: false, isUnframed: true},
	])('arrives whole, and so does the answer: $name', async ({isLocal, isUnframed}) => {
		mesh = new Mesh();
		const {front, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		back.target.streamOverride = (request, response) => {
			answerEarly(request, response, {isUnframed}).catch(() => {
				response.destroy();
			});
		};

		const {port} = (isLocal ? back : front).settings.listen.requests;
		const answers = await Promise.all(Array.from({length: 4}, async (_none, index) =>
			call(port, '/x/', {method: 'POST', headers: {...createAttemptHeaders(`a${index}`), 'content-length': String(BODY_BYTES)}, body: Buffer.alloc(BODY_BYTES, 'b')})));
		expect(answers.map(({status, isWhole, body}) => [status, isWhole, body.length, body.subarray(-8).toString().trim()]))
			.toEqual(answers.map(() => [200, true, ANSWER_BYTES + 8, String(BODY_BYTES)]));
	});
});
