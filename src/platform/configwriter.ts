import {randomUUID} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ConfigObject, type ServiceSpec, type SiteSpec} from '../core/index.js';
import {configObjectSchema, parseWithSchema} from '../config/index.js';
import {type PlatformClient, type StoredObject} from './platformclient.js';
import {PlatformError} from './error.js';

export const CONFIG_PREFIX = 'config/';
const SETTLE_TRIES = 10;
const SETTLE_PAUSE_MS = 200;

/** What came of writing one object. */
export type WriteResult = {
	readonly name: string;
	readonly generation: number;
	readonly result: 'created' | 'changed' | 'unchanged' | 'removed';
};

/** Somebody else has changed the object in the meantime. */
export class ConflictError extends Error {
	override readonly name = 'ConflictError';
	/** The generation that this writer meant to make. */
	readonly wanted: number;
	/** The generation that stands. */
	readonly found: number;

	constructor(object: string, wanted: number, found: number) {
		super(`${object}: wanted to write generation ${wanted}, but another writer's generation ${found} stands; read it, then apply again`);
		this.wanted = wanted;
		this.found = found;
	}
}

/** Changes configuration objects by conditional update. */
export class ConfigWriter {
	readonly #client: PlatformClient;

	constructor(client: PlatformClient) {
		this.#client = client;
	}

	/**
	 * Reads an object, with the store version that a conditional update needs.
	 * @throws {PlatformError}
	 */
	async read(name: string): Promise<{object?: ConfigObject; version: number}> {
		return fromStored(await this.#client.get(CONFIG_PREFIX + name));
	}

	/**
	 * Writes an object unless it says the same already; no spec removes it.
	 * @param base what the writer has read; the write fails if that has changed
	 * @throws {ConflictError | PlatformError}
	 */
	async write(name: string, spec: SiteSpec | ServiceSpec | undefined, base: {object?: ConfigObject; version: number}): Promise<WriteResult> {
		const {object: held, version} = base;
		if (held === undefined ? spec === undefined : isDeepStrictEqual(held.spec, spec)) {
			return {name, generation: held?.generation ?? 0, result: 'unchanged'};
		}

		const object: ConfigObject = {
			name, generation: (held?.generation ?? 0) + 1, operationId: randomUUID(), spec,
		};
		await this.#put(object, version);
		const result = spec === undefined ? 'removed' : (held?.spec === undefined ? 'created' : 'changed');
		return {name, generation: object.generation, result};
	}

	async #put(object: ConfigObject, version: number): Promise<void> {
		try {
			await this.#client.put(CONFIG_PREFIX + object.name, object, version);
		} catch (error) {
			if (!(error instanceof PlatformError) || (error.status !== 412 && !error.mayHaveTakenEffect)) {
				throw error;
			}

			await this.#settle(object, version);
		}
	}

	// The answer was lost or says that the version has moved on. Our own write
	// may be what moved it, so the object itself is asked whose write stands.
	async #settle(object: ConfigObject, version: number): Promise<void> {
		for (let tries = 1; ; tries++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const stored = fromStored(await this.#client.get(CONFIG_PREFIX + object.name));
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
				if (!(error instanceof PlatformError) || tries >= SETTLE_TRIES) {
					throw error;
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(SETTLE_PAUSE_MS);
			}
		}
	}
}

function fromStored(stored: StoredObject | undefined): {object?: ConfigObject; version: number} {
	if (stored === undefined) {
		return {version: 0};
	}

	return {object: parseWithSchema(configObjectSchema, stored.value), version: stored.version};
}
