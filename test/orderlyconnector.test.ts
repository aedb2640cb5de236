import {Socket} from 'node:net';
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {createOrderlyConnector} from '../src/wire/index.js';

afterEach(() => {
	vi.restoreAllMocks();
});

// Guards against a target or a store at port 80 that is never reached: its URL names no port.
it.each([['', 80], ['8080', 8080]])('a connection to an origin with the port "%s" is opened to %i', (port, expected) => {
	const connect = vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (this: Socket) {
		return this;
	});
	const options = {
		hostname: '127.0.0.1', protocol: 'http:', port, host: `127.0.0.1:${port}`,
	};
	createOrderlyConnector({timeoutMs: 1000})(options, () => undefined);
	expect(connect).toHaveBeenCalledWith(expect.objectContaining({host: '127.0.0.1', port: expected}), expect.anything());
});
