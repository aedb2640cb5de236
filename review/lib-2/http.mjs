import {Buffer} from 'node:buffer';
import {request as send} from 'node:http';
import {trace} from './trace.mjs';

/** Reads a whole body. */
export async function readBytes(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Reads a whole body as text. */
export async function readText(stream) {
	const bytes = await readBytes(stream);
	return bytes.toString();
}

/**
 * Sends one request and reads its whole answer.
 * @returns the status, the headers, the body and its length; status 0 with the error and what came of the body if the connection ended before the answer did
 */
export async function exchange({
	ip, port, method = 'GET', path, headers = {}, body, agent, timeoutMs = 10_000,
}) {
	const attemptId = headers['x-comfreydyke-attempt-id'];
	return new Promise(done => {
		let isDone = false;
		const resolve = result => {
			// A connection that ends within an answer is an error of both.
			if (attemptId !== undefined && !isDone) {
				trace.note(`answered ${attemptId}: ${result.status === 0 ? `none, ${result.error}` : result.status}, ${result.receivedBytes} bytes`);
			}

			isDone = true;
			done(result);
		};

		if (attemptId !== undefined) {
			trace.note(`sent ${attemptId} ${method} ${path} to ${ip}`);
		}

		let receivedBytes = 0;
		const fail = (error, headers) => {
			resolve({
				status: 0, error: error.code ?? error.message, headers, body: Buffer.alloc(0), receivedBytes,
			});
		};

		const request = send({
			host: ip, port, method, path, headers, agent, timeout: timeoutMs,
		}, async response => {
			response.on('data', chunk => {
				receivedBytes += chunk.length;
			});
			try {
				const bytes = await readBytes(response);
				resolve({
					status: response.statusCode, headers: response.headers, body: bytes, isComplete: response.complete, receivedBytes,
				});
			} catch (error) {
				fail(error, response.headers);
			}
		});
		request.on('timeout', () => {
			request.destroy(new Error('timeout'));
		});
		request.on('error', error => {
			fail(error, {});
		});
		request.end(body);
	});
}
