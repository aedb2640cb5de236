import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type Stored = {metadata: {name: string; revision: number; created_rev: number; finalizers: string[]; deleting: boolean}; spec: unknown; status: unknown};
type Event = {kind: string; object: Stored; deleted: boolean};

/** What the store does wrong with its next calls. */
export type StoreFault = 'none' | 'refuse' | 'lose-answer' | 'silent' | 'garble';

/** A stand-in of the platform's store that speaks its protocol over HTTP. */
export class StoreStandin {
	fault: StoreFault = 'none';
	/** Items in one page of a list. */
	pageSize = 500;
	requestCount = 0;
	/** Calls of these that may be answered with old data, at less cost. */
	staleReadCount = 0;
	readonly #server: Server;
	readonly #objects = new Map<string, Stored>();
	readonly #events: Event[] = [];
	readonly #watches = new Set<() => void>();
	#revision = 1;
	#oldest = 0;

	constructor() {
		this.#server = createServer((request, response) => {
			let text = '';
			request.on('data', chunk => {
				text += String(chunk);
			});
			request.on('end', () => {
				this.#serve(request, response, text);
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Drops the history; waiting watches are cut. */
	compact(): void {
		this.#oldest = this.#revision;
		this.#events.length = 0;
		this.#wake();
	}

	/** Writes an object as it is, also one that other clients can't read. */
	put(kind: string, name: string, spec: unknown): Stored {
		const held = this.#objects.get(`${kind}/${name}`);
		const revision = ++this.#revision;
		const object: Stored = {
			metadata: {
				name, revision, created_rev: held?.metadata.created_rev ?? revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#events.push({kind, object, deleted: false});
		this.#wake();
		return object;
	}

	#serve(request: IncomingMessage, response: ServerResponse, text: string): void {
		this.requestCount++;
		const url = new URL(request.url!, 'http://store');
		this.staleReadCount += url.searchParams.get('stale_ok') === '1' ? 1 : 0;
		const [kind, name] = url.pathname.split('/').slice(3);
		switch (this.fault) {
			case 'refuse': {
				send(response, 503, {error: 'busy'});
				return;
			}

			case 'silent': {
				return;
			}

			case 'garble': {
				response.end('{"items":[');
				return;
			}

			case 'lose-answer':
			case 'none': {
				break;
			}
		}

		const answer = this.#handle(request.method!, kind, name, url.searchParams, text, response);
		if (answer !== undefined && this.fault === 'lose-answer' && request.method !== 'GET') {
			request.socket.destroy();
		} else if (answer !== undefined) {
			send(response, answer.status, answer.body);
		}
	}

	#handle(method: string, kind: string, name: string | undefined, query: URLSearchParams, text: string, response: ServerResponse): {status: number; body?: unknown} | undefined {
		if (method === 'GET') {
			return query.has('watch') ? this.#watch(kind, query, response) : this.#read(kind, name, query);
		}

		const {metadata, spec} = (text === '' ? {} : JSON.parse(text)) as {metadata?: {name: string; revision?: number}; spec?: unknown};
		const key = name ?? metadata?.name ?? '';
		const held = this.#objects.get(`${kind}/${key}`);
		const expected = metadata?.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined);
		if (method === 'POST') {
			return held === undefined ? {status: 200, body: this.put(kind, key, spec)} : {status: 409, body: held};
		}

		if (held === undefined) {
			return {status: 404};
		}

		if (expected !== undefined && expected !== held.metadata.revision) {
			return {status: 409, body: held};
		}

		if (method === 'PUT') {
			return {status: 200, body: this.put(kind, key, spec)};
		}

		this.#objects.delete(`${kind}/${key}`);
		held.metadata.revision = ++this.#revision;
		this.#events.push({kind, object: held, deleted: true});
		this.#wake();
		return {status: 200};
	}

	#read(kind: string, name: string | undefined, query: URLSearchParams): {status: number; body?: unknown} {
		if (name !== undefined) {
			const held = this.#objects.get(`${kind}/${name}`);
			return held === undefined ? {status: 404} : {status: 200, body: held};
		}

		const after = query.get('after') ?? '';
		const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object).filter(({metadata}) => metadata.name > after)
			.toSorted((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
		return {status: 200, body: {items: items.slice(0, this.pageSize), more: items.length > this.pageSize, current_rev: this.#revision}};
	}

	#watch(kind: string, query: URLSearchParams, response: ServerResponse): {status: number; body?: unknown} | undefined {
		const from = Number(query.get('watch'));
		const look = () => this.#events.filter(event => event.kind === kind && event.object.metadata.revision > from).map(({object, deleted}) => ({object, deleted}));
		if (from < this.#oldest) {
			return {status: 410};
		}

		if (look().length > 0) {
			return {status: 200, body: {events: look(), current_rev: this.#revision}};
		}

		const timer = setTimeout(() => {
			wake();
		}, Number(query.get('wait_ms')));
		const wake = () => {
			clearTimeout(timer);
			this.#watches.delete(wake);
			send(response, from < this.#oldest ? 410 : 200, {events: look(), current_rev: this.#revision});
		};

		this.#watches.add(wake);
		return undefined;
	}

	#wake(): void {
		for (const wake of this.#watches) {
			wake();
		}
	}
}

function send(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(body === undefined ? '' : JSON.stringify(body));
}
