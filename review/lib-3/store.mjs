/** A stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches (PROTOCOL.md). */
/* eslint-disable camelcase -- the names of the platform's fields */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const PREFIX = '/v1/objects/';

export class Store {
	#objects = new Map();
	#events = [];
	#waiting = new Set();
	#revision = 1;
	#server = createServer((request, response) => {
		let text = '';
		request.on('data', bytes => {
			text += bytes;
		});
		request.on('end', () => {
			this.#serve(request, response, text);
		});
	});

	async listen(ip, port) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes an object as the operator does. @returns its revision */
	put(kind, name, spec) {
		const key = `${kind}/${name}`;
		const held = this.#objects.get(key);
		const revision = ++this.#revision;
		const object = {
			metadata: {
				name, revision, created_rev: held?.metadata.created_rev ?? revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(key, object);
		this.#tell({
			kind, revision, object, deleted: false,
		});
		return object;
	}

	#tell(event) {
		this.#events.push(event);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#serve(request, response, text) {
		const url = new URL(request.url, 'http://store');
		if (!url.pathname.startsWith(PREFIX)) {
			send(response, 404, {});
			return;
		}

		const [kind, name] = url.pathname.slice(PREFIX.length).split('/');
		const body = text === '' ? {} : JSON.parse(text);
		const key = `${kind}/${name ?? body.metadata?.name}`;
		const held = this.#objects.get(key);
		if (request.method === 'GET') {
			this.#read(kind, name, url.searchParams, response);
			return;
		}

		if (request.method === 'POST') {
			send(response, held === undefined ? 200 : 409, held ?? this.put(kind, body.metadata.name, body.spec));
			return;
		}

		const expected = body.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined);
		if (held === undefined) {
			send(response, 404, {});
		} else if (expected !== undefined && expected !== held.metadata.revision) {
			send(response, 409, held);
		} else if (request.method === 'PUT') {
			const isSame = JSON.stringify(held.spec) === JSON.stringify(body.spec);
			send(response, 200, isSame ? held : this.put(kind, name, body.spec));
		} else {
			this.#objects.delete(key);
			this.#tell({
				kind, revision: ++this.#revision, object: {...held, metadata: {...held.metadata, revision: this.#revision}}, deleted: true,
			});
			send(response, 200, {});
		}
	}

	#read(kind, name, query, response) {
		if (query.has('watch')) {
			this.#watch(kind, query, response);
		} else if (name === undefined) {
			const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
				.filter(({metadata}) => metadata.name > (query.get('after') ?? ''));
			send(response, 200, {items, more: false, current_rev: this.#revision});
		} else {
			const held = this.#objects.get(`${kind}/${name}`);
			send(response, held === undefined ? 404 : 200, held ?? {});
		}
	}

	#watch(kind, query, response) {
		const from = Number(query.get('watch'));
		const news = () => this.#events.filter(event => event.kind === kind && event.revision > from).map(({object, deleted}) => ({object, deleted}));
		const answer = () => {
			send(response, 200, {events: news(), current_rev: this.#revision});
		};

		if (news().length > 0) {
			answer();
			return;
		}

		const end = () => {
			clearTimeout(timer);
			this.#waiting.delete(wake);
			answer();
		};

		const wake = () => {
			if (news().length > 0) {
				end();
			}
		};

		const timer = setTimeout(end, Number(query.get('wait_ms') ?? 0));
		this.#waiting.add(wake);
	}
}

function send(response, status, value) {
	const text = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}
