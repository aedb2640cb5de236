import type * as z from 'zod';
import {type ConfigObject, type JoinRecord, type PlatformRequest} from '../core/index.js';
import {configObjectSchema, joinRecordSchema} from '../config/index.js';
import {
	CONFIG_PREFIX, PlatformClient, PlatformError, type StoredObject,
} from '../platform/index.js';
import {type Logger} from '../log/index.js';
import {type MessageBus} from './messagebus.js';

const JOIN_PREFIX = 'joins/';
/** How long the platform holds one watch request open, in ms. */
const WATCH_WAIT_MS = 25_000;
/** Delay before the next watch request after a failed one, in ms. */
const WATCH_RETRY_DELAY_MS = 1000;

/** Carries out the core's requests to the platform: loads and watches the configuration, writes and deletes the join record. */
export class PlatformTask {
	readonly #bus: MessageBus;
	readonly #log: Logger;
	readonly #client: PlatformClient;
	#watchController: AbortController | undefined;
	#rejectedObjects = 0;

	constructor(bus: MessageBus, log: Logger, url: string, timeoutMs: number) {
		this.#bus = bus;
		this.#log = log;
		this.#client = new PlatformClient(url, timeoutMs);
		bus.handle('platform', ({request}) => {
			void this.#handle(request);
		});
	}

	/** The number of objects from the platform that were invalid and therefore ignored. */
	get rejectedObjects(): number {
		return this.#rejectedObjects;
	}

	close(): void {
		this.#watchController?.abort();
	}

	async #handle(request: PlatformRequest): Promise<void> {
		switch (request.op) {
			case 'load': {
				await this.#load();
				break;
			}

			case 'join': {
				await this.#writeJoinRecord(request.record);
				break;
			}

			case 'leave': {
				await this.#tryOrLog(async () => this.#client.delete(JOIN_PREFIX + request.id));
				break;
			}

			case 'watch': {
				this.#setWatch(request.on);
				break;
			}
		}
	}

	async #load(): Promise<void> {
		const listings = await this.#tryOrLog(async () => Promise.all([this.#client.list(CONFIG_PREFIX), this.#client.list(JOIN_PREFIX)]));
		const [config, joins] = listings ?? [];
		this.#bus.send({
			type: 'platform',
			reply: {
				op: 'load',
				ok: listings !== undefined,
				config: this.#parseConfigObjects(config?.objects ?? []),
				joins: this.#parseJoinRecords(joins?.objects ?? []),
			},
		});
	}

	// A record with this id may remain from before a restart. This start is newer, so it overwrites the record.
	async #writeJoinRecord(record: JoinRecord): Promise<void> {
		const key = JOIN_PREFIX + record.id;
		const isWritten = await this.#tryOrLog(async () => {
			const current = await this.#client.get(key);
			await this.#client.put(key, record, current?.version ?? 0);
			return true;
		});
		this.#bus.send({type: 'platform', reply: {op: 'join', ok: isWritten === true}});
	}

	#setWatch(on: boolean): void {
		this.#watchController?.abort();
		this.#watchController = undefined;
		if (on) {
			this.#watchController = new AbortController();
			void this.#runWatch(this.#watchController.signal);
		}
	}

	async #runWatch(signal: AbortSignal): Promise<void> {
		let after = 0;
		let isLost = false;
		while (!signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const {version, objects} = await this.#client.watch(CONFIG_PREFIX, after, WATCH_WAIT_MS, signal);
				after = version;
				if (isLost) {
					isLost = false;
					this.#log.info('platform_watch_regained', {version});
				}

				if (objects.length > 0) {
					this.#bus.send({type: 'platform', reply: {op: 'config', objects: this.#parseConfigObjects(objects)}});
				}
			} catch (error) {
				if (!isLost && !signal.aborted) {
					isLost = true;
					this.#log.warn('platform_watch_lost', fieldsOf(error));
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(WATCH_RETRY_DELAY_MS, signal);
			}
		}
	}

	async #tryOrLog<T>(action: () => Promise<T>): Promise<T | undefined> {
		try {
			return await action();
		} catch (error) {
			this.#log.warn('platform_failed', fieldsOf(error));
			return undefined;
		}
	}

	// An invalid object is skipped as a whole, so the configuration already in force stays.
	#parseConfigObjects(stored: readonly StoredObject[]): ConfigObject[] {
		return this.#keepValid(stored, configObjectSchema, ({name, generation}, {key, version}) => {
			if (key !== CONFIG_PREFIX + name) {
				return 'name: expected the name in the key';
			}

			// Each generation is a write, and each write raises the version.
			return generation > version ? 'generation: expected at most the version in the store' : undefined;
		});
	}

	#parseJoinRecords(stored: readonly StoredObject[]): JoinRecord[] {
		return this.#keepValid(stored, joinRecordSchema, ({id}, {key}) => key === JOIN_PREFIX + id ? undefined : 'id: expected the id in the key');
	}

	/** @param findFault returns why a value of the right shape can't be what is stored there; undefined if it can */
	#keepValid<T>(stored: readonly StoredObject[], schema: z.ZodType<T>, findFault: (value: T, object: StoredObject) => string | undefined): T[] {
		return stored.flatMap(object => {
			const {success, data, error} = schema.safeParse(object.value);
			const reason = success ? findFault(data, object) : error.message.replaceAll(/\s+/gv, ' ');
			if (success && reason === undefined) {
				return [data];
			}

			this.#rejectedObjects++;
			this.#log.error('object_rejected', {key: object.key, reason: reason ?? ''});
			return [];
		});
	}
}

function fieldsOf(error: unknown): {status: number; reason: string} {
	return {status: error instanceof PlatformError ? error.status : 0, reason: (error as Error).message};
}

async function sleep(ms: number, signal: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(resolve, ms);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
