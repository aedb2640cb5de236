/* eslint-disable camelcase -- the names of the users' pages */
import {createServer} from 'node:http';
import {readText} from './http.mjs';

const OBJECTS_PATH = '/v1/objects/';

/** The platform's metadata store: objects by kind and name, one revision counter, conditional writes, lists and watches. */
export class Store {
	#revision = 100;
	#kinds = new Map();
	#events = [];
	#watchers = new Set();
	#server = createServer(async (request, response) => {
		await this.#serve(request, response);
	});

	async listen(ip) {
		await new Promise(resolve => {
			this.#server.listen(0, ip, resolve);
		});
		this.address = `${ip}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes an object as the operator does. */
	write(kind, name, spec) {
		const known = this.#kindOf(kind).get(name);
		return this.#put(kind, {
			name, spec, status: known?.status ?? null, createdRevision: known?.metadata.created_rev,
		});
	}

	#kindOf(kind) {
		const objects = this.#kinds.get(kind) ?? new Map();
		this.#kinds.set(kind, objects);
		return objects;
	}

	#put(kind, {name, spec, status, createdRevision}) {
		this.#revision++;
		const object = {
			metadata: {
				name, revision: this.#revision, created_rev: createdRevision ?? this.#revision, finalizers: [], deleting: false,
			}, spec, status,
		};
		this.#kindOf(kind).set(name, object);
		this.#tell(kind, {object, deleted: false});
		return object;
	}

	#tell(kind, event) {
		this.#events.push({kind, revision: this.#revision, event});
		for (const wake of this.#watchers) {
			wake();
		}
	}

	async #serve(request, response) {
		const text = await readText(request);
		const url = new URL(request.url, 'http://store');
		const send = (status, value) => {
			const body = value === undefined ? '' : JSON.stringify(value);
			response.writeHead(status, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length});
			response.end(body);
		};

		if (!url.pathname.startsWith(OBJECTS_PATH)) {
			send(404);
			return;
		}

		const [kind, name] = url.pathname.slice(OBJECTS_PATH.length).split('/');
		if (request.method === 'GET') {
			await this.#read(url, {
				kind, name, send, response,
			});
		} else {
			this.#change(request.method, {
				kind, name, url, send, body: text === '' ? undefined : JSON.parse(text),
			});
		}
	}

	async #read(url, {kind, name, send, response}) {
		if (name !== undefined) {
			const object = this.#kindOf(kind).get(name);
			send(object === undefined ? 404 : 200, object);
		} else if (url.searchParams.has('watch')) {
			await this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), {send, response});
		} else {
			send(200, {items: [...this.#kindOf(kind).values()], more: false, current_rev: this.#revision});
		}
	}

	async #watch(kind, from, waitMs, {send, response}) {
		const find = () => this.#events.filter(event => event.kind === kind && event.revision > from).map(({event}) => event);
		if (find().length === 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#watchers.delete(wake);
					resolve();
				};

				const wake = () => {
					if (find().length > 0) {
						end();
					}
				};

				const timer = setTimeout(end, waitMs);
				this.#watchers.add(wake);
				response.on('close', end);
			});
		}

		send(200, {events: find(), current_rev: this.#revision});
	}

	#change(method, {kind, name: pathName, url, send, body}) {
		const name = pathName ?? body?.metadata?.name;
		const known = this.#kindOf(kind).get(name);
		const isCreation = method === 'POST';
		const expected = body?.metadata?.revision ?? url.searchParams.get('revision') ?? known?.metadata.revision;
		if (!isCreation && known === undefined) {
			send(404);
		} else if (known !== undefined && (isCreation || Number(expected) !== known.metadata.revision)) {
			send(409, known);
		} else if (method === 'DELETE') {
			this.#remove(kind, known);
			send(200, known);
		} else {
			send(200, this.#replace(kind, name, {known, spec: body.spec}));
		}
	}

	#remove(kind, object) {
		this.#revision++;
		this.#kindOf(kind).delete(object.metadata.name);
		this.#tell(kind, {object: {...object, metadata: {...object.metadata, revision: this.#revision}}, deleted: true});
	}

	/** Writes what a daemon sends; what changes nothing has no new revision. */
	#replace(kind, name, {known, spec}) {
		return known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec) ? known : this.write(kind, name, spec);
	}
}
