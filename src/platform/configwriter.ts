import {randomUUID} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ConfigObject, type ServiceSpec, type SiteSpec} from '../core/index.js';
import {configObjectSchema, parseWithSchema} from '../config/index.js';
import {type PlatformClient, type StoredObject} from './platformclient.js';
import {PlatformError} from './error.js';

/** Key prefix of all configuration objects. */
export const CONFIG_PREFIX = 'config/';
const MAX_CONFIRM_TRIES = 10;
const CONFIRM_RETRY_DELAY_MS = 200;

/** The result of writing one object. */
export type WriteResult = {
	readonly name: string;
	readonly generation: number;
	readonly result: 'created' | 'changed' | 'unchanged' | 'removed';
};

/** Another writer has changed the object since it was read. */
export class ConflictError extends Error {
	override readonly name = 'ConflictError';
	/** The generation that this writer tried to store. */
	readonly wanted: number;
	/** The generation that is stored. */
	readonly found: number;

	constructor(object: string, wanted: number, found: number) {
		super(`${object}: tried to write generation ${wanted}, but another writer has stored generation ${found}; read the object, then apply again`);
		this.wanted = wanted;
		this.found = found;
	}
}

/** Changes configuration objects by conditional writes (compare-and-set on the version). */
export class ConfigWriter {
	readonly #client: PlatformClient;

	constructor(client: PlatformClient) {
		this.#client = client;
	}

	/**
	 * Reads an object and its store version, which a conditional write needs.
	 * @throws {PlatformError}
	 */
	async read(name: string): Promise<{object?: ConfigObject; version: number}> {
		return parseStored(await this.#client.get(CONFIG_PREFIX + name));
	}

	/**
	 * Lists the names of the objects that have a spec.
	 * @throws {PlatformError}
	 */
	async listNames(): Promise<string[]> {
		const {objects} = await this.#client.list(CONFIG_PREFIX);
		return objects.map(stored => parseStored(stored).object!).filter(({spec}) => spec !== undefined).map(({name}) => name);
	}

	/**
	 * Writes an object unless its spec is already the same. An undefined spec removes the object.
	 * @param base the object and version as read before; the write fails if they have changed since
	 * @throws {ConflictError | PlatformError}
	 */
	async write(name: string, spec: SiteSpec | ServiceSpec | undefined, base: {object?: ConfigObject; version: number}): Promise<WriteResult> {
		const {object: current, version} = base;
		if (current === undefined ? spec === undefined : isDeepStrictEqual(current.spec, spec)) {
			return {name, generation: current?.generation ?? 0, result: 'unchanged'};
		}

		const object: ConfigObject = {
			name, generation: (current?.generation ?? 0) + 1, operationId: randomUUID(), spec,
		};
		await this.#put(object, version);
		const result = spec === undefined ? 'removed' : (current?.spec === undefined ? 'created' : 'changed');
		return {name, generation: object.generation, result};
	}

	async #put(object: ConfigObject, version: number): Promise<void> {
		try {
			await this.#client.put(CONFIG_PREFIX + object.name, object, version);
		} catch (error) {
			if (!(error instanceof PlatformError) || (error.status !== 412 && !error.mayHaveTakenEffect)) {
				throw error;
			}

			await this.#confirmWrite(object, version);
		}
	}

	// The response was lost or reports another version. This writer's own write may
	// have caused that, so the operation id of the stored object decides. An unchanged
	// version means that the write never took effect, and it is repeated.
	async #confirmWrite(object: ConfigObject, version: number): Promise<void> {
		for (let tries = 1; ; tries++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const stored = parseStored(await this.#client.get(CONFIG_PREFIX + object.name));
				if (stored.object?.operationId === object.operationId) {
					return;
				}

				if (stored.version !== version) {
					throw new ConflictError(object.name, object.generation, stored.object?.generation ?? 0);
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#client.put(CONFIG_PREFIX + object.name, object, version);
				return;
			} catch (error) {
				if (!(error instanceof PlatformError) || tries >= MAX_CONFIRM_TRIES) {
					throw error;
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(CONFIRM_RETRY_DELAY_MS);
			}
		}
	}
}

function parseStored(stored: StoredObject | undefined): {object?: ConfigObject; version: number} {
	if (stored === undefined) {
		return {version: 0};
	}

	return {object: parseWithSchema(configObjectSchema, stored.value), version: stored.version};
}
