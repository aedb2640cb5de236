import {type ConfigObject, type JoinRecord, type PlatformRequest} from '../core/index.js';
import {configObjectSchema, joinRecordSchema} from '../config/index.js';
import {
	CONFIG_PREFIX, PlatformClient, PlatformError, type StoredObject,
} from '../platform/index.js';
import {type Logger} from '../log/index.js';
import {type MessageBus} from './messagebus.js';

const JOIN_PREFIX = 'joins/';
const WATCH_MS = 25_000;
const WATCH_RETRY_MS = 1000;

/** Owns the daemon's dealings with the platform. */
export class PlatformTask {
	readonly #bus: MessageBus;
	readonly #log: Logger;
	readonly #client: PlatformClient;
	#watch: AbortController | undefined;
	#rejected = 0;

	constructor(bus: MessageBus, log: Logger, url: string, timeoutMs: number) {
		this.#bus = bus;
		this.#log = log;
		this.#client = new PlatformClient(url, timeoutMs);
		void bus.outputs('platform').observe(({request}) => {
			void this.#handle(request);
		});
	}

	/** Objects from the platform that were not valid and were refused whole. */
	get rejectedObjects(): number {
		return this.#rejected;
	}

	close(): void {
		this.#watch?.abort();
	}

	async #handle(request: PlatformRequest): Promise<void> {
		switch (request.op) {
			case 'load': {
				await this.#load();
				break;
			}

			case 'join': {
				await this.#join(request.record);
				break;
			}

			case 'leave': {
				await this.#attempt(async () => this.#client.delete(JOIN_PREFIX + request.id));
				break;
			}

			case 'watch': {
				this.#setWatch(request.on);
				break;
			}
		}
	}

	async #load(): Promise<void> {
		const listings = await this.#attempt(async () => Promise.all([this.#client.list(CONFIG_PREFIX), this.#client.list(JOIN_PREFIX)]));
		const [config, joins] = listings ?? [];
		this.#bus.send({
			type: 'platform',
			reply: {
				op: 'load',
				ok: listings !== undefined,
				config: this.#objects(config?.objects ?? []),
				joins: this.#joins(joins?.objects ?? []),
			},
		});
	}

	// A record of this id may stand from before a restart; the newer start wins.
	async #join(record: JoinRecord): Promise<void> {
		const key = JOIN_PREFIX + record.id;
		const done = await this.#attempt(async () => {
			const held = await this.#client.get(key);
			await this.#client.put(key, record, held?.version ?? 0);
			return true;
		});
		this.#bus.send({type: 'platform', reply: {op: 'join', ok: done === true}});
	}

	#setWatch(on: boolean): void {
		this.#watch?.abort();
		this.#watch = undefined;
		if (on) {
			this.#watch = new AbortController();
			void this.#runWatch(this.#watch.signal);
		}
	}

	async #runWatch(signal: AbortSignal): Promise<void> {
		let after = 0;
		while (!signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const {version, objects} = await this.#client.watch(CONFIG_PREFIX, after, WATCH_MS, signal);
				after = version;
				if (objects.length > 0) {
					this.#bus.send({type: 'platform', reply: {op: 'config', objects: this.#objects(objects)}});
				}
			} catch {
				// eslint-disable-next-line no-await-in-loop
				await pause(WATCH_RETRY_MS, signal);
			}
		}
	}

	async #attempt<T>(action: () => Promise<T>): Promise<T | undefined> {
		try {
			return await action();
		} catch (error) {
			const status = error instanceof PlatformError ? error.status : 0;
			this.#log.warn('platform_failed', {status, reason: (error as Error).message});
			return undefined;
		}
	}

	// One that isn't valid is left out whole; what is in force stays.
	#objects(stored: readonly StoredObject[]): ConfigObject[] {
		return this.#valid(stored, value => configObjectSchema.safeParse(value));
	}

	#joins(stored: readonly StoredObject[]): JoinRecord[] {
		return this.#valid(stored, value => joinRecordSchema.safeParse(value));
	}

	#valid<T>(stored: readonly StoredObject[], parse: (value: unknown) => {success: boolean; data?: T; error?: Error}): T[] {
		const valid: T[] = [];
		for (const {key, value} of stored) {
			const {success, data, error} = parse(value);
			if (success) {
				valid.push(data as T);
			} else {
				this.#rejected++;
				this.#log.error('object_rejected', {key, reason: error?.message.replaceAll(/\s+/gv, ' ') ?? ''});
			}
		}

		return valid;
	}
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(resolve, ms);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
