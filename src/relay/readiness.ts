import {type Server, createServer} from 'node:http';
import {listen} from './listen.js';
import {type Address} from './settings.js';

/** Answers whether this daemon takes requests. */
export class Readiness {
	readonly #server: Server;

	constructor(path: string, isReady: () => boolean) {
		this.#server = createServer((request, response) => {
			const status = request.url === path ? (isReady() ? 200 : 503) : 404;
			response.writeHead(status, {'content-length': '0'});
			response.end();
		});
	}

	async listen(address: Address): Promise<void> {
		await listen(this.#server, address);
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
