import {Buffer} from 'node:buffer';
import {type AddressInfo, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it, vi} from 'vitest';
import {ContextTokens} from '../../src/daemon/contexttokens.js';
import {MessageBus} from '../../src/daemon/messagebus.js';
import {RequestServer} from '../../src/daemon/requestserver.js';
import {Logger} from '../../src/log/index.js';

const HOST = '127.0.0.1';
/** More than the buffers of two sockets hold. */
const ANSWER_BYTES = 48 * 1_048_576;

it('a planned stop of a product\'s daemon waits until slow clients have their answers', async () => {
	const bus = new MessageBus();
	bus.handleInputs(input => {
		if (input.type === 'request') {
			bus.publish({type: 'respond', id: input.id, answer: {outcome: 'complete', payload: {headers: [], body: Buffer.alloc(ANSWER_BYTES)}}});
		}
	});
	const server = new RequestServer(bus, new ContextTokens(), new Logger('d', 'info', () => undefined), {
		host: HOST, port: 0, bodyBytes: 1000, idleTimeoutMs: 1000, requests: 10, handleOwnEndpoint: () => undefined,
	});
	await server.listen();
	const socket = connect((server.server.address() as AddressInfo).port, HOST);
	socket.pause();
	socket.write('GET /s/x HTTP/1.1\r\nhost: d\r\n\r\n');
	await sleep(200);
	server.closeAfterResponses();
	await server.stopAccepting();
	let isWritten = false;
	const written = (async () => {
		await server.waitForResponses();
		isWritten = true;
	})();
	await sleep(200);
	expect(isWritten).toBe(false);
	let length = 0;
	socket.on('data', bytes => {
		length += bytes.length;
	});
	socket.resume();
	await written;
	await vi.waitFor(() => {
		expect(length).toBeGreaterThan(ANSWER_BYTES);
	});
	socket.destroy();
});
