import {Buffer} from 'node:buffer';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {
	afterEach, expect, it,
} from 'vitest';
import {type Input} from '../../src/core/index.js';
import {ContextTokens} from '../../src/daemon/contexttokens.js';
import {MessageBus} from '../../src/daemon/messagebus.js';
import {TargetClient} from '../../src/daemon/targetclient.js';

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let client: TargetClient;
const sockets: Socket[] = [];
const received: string[] = [];
const server = createServer(socket => {
	sockets.push(socket);
	socket.on('data', bytes => {
		received.push(/^\w+ (?<path>\S+)/v.exec(bytes.toString())!.groups!.path);
	});
});

afterEach(async () => {
	server.close();
	await client.close();
});

it('a run that is cancelled while it waits for a connection is never sent, and costs no connection', async () => {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const bus = new MessageBus();
	const results: Array<[id: number, kind: string]> = [];
	bus.handleInputs((input: Input) => {
		if (input.type === 'target') {
			results.push([input.id, input.result.kind]);
		}
	});
	client = new TargetClient(bus, new ContextTokens(), 1000, () => 0);
	client.setOrigin(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
	const dispatch = (id: number) => {
		bus.publish({
			type: 'dispatch', id, budgetMs: 1000, key: undefined, payload: {
				method: 'GET', path: `/${id}`, headers: [], body: Buffer.alloc(0),
			},
		});
	};

	dispatch(1);
	await expect.poll(() => received).toEqual(['/1']);
	dispatch(2);
	dispatch(3);
	bus.publish({type: 'cancel', id: 2});
	sockets[0].write(ANSWER);
	await expect.poll(() => received.length).toBeGreaterThan(1);
	sockets[0].write(ANSWER);
	await expect.poll(() => results.length).toBe(3);
	expect([received, results.toSorted(([a], [b]) => a - b), sockets.length]).toEqual([['/1', '/3'], [[1, 'whole'], [2, 'withdrawn'], [3, 'whole']], 1]);
});
