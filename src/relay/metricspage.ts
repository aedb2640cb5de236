import {type Server, createServer} from 'node:http';
import {type Registry} from '../log/index.js';
import {listen} from './listen.js';
import {type Address} from './settings.js';

/** Serves the registry as text. */
export class MetricsPage {
	readonly #server: Server;

	constructor(registry: Registry) {
		this.#server = createServer((_request, response) => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(registry.text());
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
