import {type AddressInfo, type Socket, createServer} from 'node:net';
import {describe, expect, it} from 'vitest';
import {PlatformStore} from '../../platform/store.js';

const FILL = 'x'.repeat(16_384);

function pour(socket: Socket): void {
	socket.write(FILL, error => {
		if (!error) {
			pour(socket);
		}
	});
}

describe('a store whose answer never ends', () => {
	it('costs a daemon some megabytes, and counts as unavailable', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"');
			pour(socket);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		// With a limit it ends before the time of the watch does, which is long.
		await expect(store.watch('config', 1, {waitMs: 60_000, freshness: 'fresh'})).rejects.toMatchObject({kind: 'unavailable'});
		await store.close();
		server.close();
	});
});
