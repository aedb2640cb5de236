import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type StoredObject = {metadata: {name: string; revision: number; created_rev: number; finalizers: string[]; deleting: boolean}; spec: unknown; status: unknown};
type Event = {kind: string; object: StoredObject; deleted: boolean};

/** The fault with which the store handles its next requests. */
export type StoreFault = 'none' | 'refuse' | 'lose-answer' | 'silent' | 'garble';

/** A stand-in for the platform's store that speaks the store's HTTP protocol and keeps its objects in memory. */
export class StoreStandin {
	fault: StoreFault = 'none';
	/** The number of the times that it was restored from an older copy, as its answers name it; undefined if they don't. */
	epoch: string | undefined;
	/** The maximum number of items in one page of a list. */
	pageSize = 500;
	requestCount = 0;
	/** Requests that allow stale data, which costs the store less. */
	staleReadCount = 0;
	readonly #server: Server;
	readonly #objects = new Map<string, StoredObject>();
	readonly #events: Event[] = [];
	readonly #textsByPlaceholder = new Map<string, string>();
	readonly #watches = new Set<() => void>();
	#revision = 1;
	#compactedTo = 0;

	constructor() {
		this.#server = createServer((request, response) => {
			if (this.epoch !== undefined) {
				response.setHeader('store-era', this.epoch);
			}

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

	/** Resolves when the next answer is sent. */
	async answered(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.once('request', (_request, response: ServerResponse) => {
				response.once('finish', resolve);
			});
		});
	}

	/** Drops the history of events and ends waiting watches with status 410. */
	compact(): void {
		this.#compactedTo = this.#revision;
		this.#events.length = 0;
		this.#wakeWatches();
	}

	/** Writes an object without validation, so that tests can store one that clients can't parse. */
	put(kind: string, name: string, spec: unknown): StoredObject {
		const held = this.#objects.get(`${kind}/${name}`);
		const revision = ++this.#revision;
		const object: StoredObject = {
			metadata: {
				name, revision, created_rev: held?.metadata.created_rev ?? revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#events.push({kind, object, deleted: false});
		this.#wakeWatches();
		return object;
	}

	/** Writes an object whose specification is this JSON text, which may be nested too deeply to be encoded. */
	putText(kind: string, name: string, specText: string): StoredObject {
		const placeholder = `text of ${kind}/${name}`;
		this.#textsByPlaceholder.set(JSON.stringify(placeholder), specText);
		return this.put(kind, name, placeholder);
	}

	/** Makes an object unreadable for clients, as another writer's may be. */
	corrupt(kind: string, name: string): void {
		Object.assign(this.#objects.get(`${kind}/${name}`)!.metadata, {revision: null});
	}

	#serve(request: IncomingMessage, response: ServerResponse, text: string): void {
		this.requestCount++;
		const url = new URL(request.url!, 'http://store');
		this.staleReadCount += url.searchParams.get('stale_ok') === '1' ? 1 : 0;
		const [kind, name] = url.pathname.split('/').slice(3);
		switch (this.fault) {
			case 'refuse': {
				this.#send(response, 503, {error: 'busy'});
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
			this.#send(response, answer.status, answer.body);
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
		this.#wakeWatches();
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
		const pendingEvents = () => this.#events.filter(event => event.kind === kind && event.object.metadata.revision > from).map(({object, deleted}) => ({object, deleted}));
		if (from < this.#compactedTo || from > this.#revision) {
			return {status: 410};
		}

		if (pendingEvents().length > 0) {
			return {status: 200, body: {events: pendingEvents(), current_rev: this.#revision}};
		}

		const timer = setTimeout(() => {
			wake();
		}, Number(query.get('wait_ms')));
		const wake = () => {
			clearTimeout(timer);
			this.#watches.delete(wake);
			this.#send(response, from < this.#compactedTo ? 410 : 200, {events: pendingEvents(), current_rev: this.#revision});
		};

		this.#watches.add(wake);
		return undefined;
	}

	#wakeWatches(): void {
		for (const wake of this.#watches) {
			wake();
		}
	}

	#send(response: ServerResponse, status: number, body: unknown): void {
		let text = body === undefined ? '' : JSON.stringify(body);
		for (const [placeholder, specText] of this.#textsByPlaceholder) {
			text = text.replaceAll(placeholder, () => specText);
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(text);
	}
}
