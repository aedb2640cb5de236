import {type Server, createServer} from 'node:net';
import process from 'node:process';

/** The ports lie below the operating system's range of ephemeral ports: no outgoing connection takes a port between its choice and its use. */
const FIRST_PORT = 10_000;
const BLOCK_PORTS = 500;
const BLOCKS = 44;

/** Ports that no other process chooses while this one runs: other test workers, or another run of the tests beside this one. */
export class PortBlock {
	/** Takes the first free block from this number on. @throws {Error} when all are taken */
	static async reserve(preferred = 0): Promise<PortBlock> {
		for (let index = 0; index < BLOCKS; index++) {
			const firstPort = FIRST_PORT + (((preferred + index) % BLOCKS) * BLOCK_PORTS);
			// The first port of a block is never handed out: whoever listens on it has the block.
			// eslint-disable-next-line no-await-in-loop -- the blocks are tried in order
			const guard = await tryListen(firstPort);
			if (guard !== undefined) {
				guard.unref();
				return new PortBlock(firstPort);
			}
		}

		throw new Error('all blocks of ports are taken');
	}

	readonly #firstPort: number;
	#next = 0;

	private constructor(firstPort: number) {
		this.#firstPort = firstPort;
	}

	/** Finds ports of the block that nothing listens on. */
	async findFree(count: number): Promise<number[]> {
		const ports: number[] = [];
		while (ports.length < count) {
			const port = this.#firstPort + 1 + (this.#next++ % (BLOCK_PORTS - 1));
			// eslint-disable-next-line no-await-in-loop -- the ports are tried in order
			const server = await tryListen(port);
			if (server !== undefined) {
				ports.push(port);
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					server.close(resolve);
				});
			}
		}

		return ports;
	}
}

let ownBlock: Promise<PortBlock> | undefined;

/** Finds ports that nothing listens on, and that no other process chooses. */
export async function findFreePorts(count: number): Promise<number[]> {
	ownBlock ??= PortBlock.reserve(Number(process.env.VITEST_POOL_ID ?? 0));
	const block = await ownBlock;
	return block.findFree(count);
}

async function tryListen(port: number): Promise<Server | undefined> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}
