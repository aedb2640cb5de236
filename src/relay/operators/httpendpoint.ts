import {type RequestListener, type Server, createServer} from 'node:http';
import {type ListenPatience, listen} from '../../wire/index.js';
import {type Address} from '../settings.js';

/** An HTTP server on its own address, separate from those for requests and for peers. */
export abstract class HttpEndpoint {
	readonly #server: Server;

	constructor(onRequest: RequestListener) {
		this.#server = createServer(onRequest);
	}

	async listen(address: Address, patience: ListenPatience): Promise<void> {
		await listen(this.#server, address, patience);
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
