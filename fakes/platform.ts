import {
	type ConfigObject, type JoinRecord, type PlatformReply, type PlatformRequest,
} from '../src/core/index.js';
import {type Random} from './random.js';
import {type Scheduler} from './scheduler.js';

/** The platform's response time without faults, in ms. */
const ANSWER_MS = 4;

/** The result of a conditional write as the writer sees it; after `lost` the write may have taken effect. */
export type WriteAnswer
	= | {readonly kind: 'ok'; readonly version: number}
		| {readonly kind: 'conflict'}
		| {readonly kind: 'lost'};

/** The faults of the platform. */
export type PlatformFaults = {
	outage: boolean;
	slowMs: number;
	/** The probability that a write's answer is lost after it took effect. */
	loseAnswer: number;
	/** The probability that a read or a notification gives an older version. */
	stale: number;
};

type Watcher = {readonly send: (reply: PlatformReply) => void; readonly isUp: () => boolean};

/** The platform's object API as the core sees it, simulated in virtual time. */
export class FakePlatform {
	readonly faults: PlatformFaults = {
		outage: false, slowMs: 0, loseAnswer: 0, stale: 0,
	};

	readonly faultCounts: Record<string, number> = {};
	reads = 0;
	writes = 0;
	/** All accepted versions of each configuration object, oldest first. */
	readonly history = new Map<string, ConfigObject[]>();
	readonly #scheduler: Scheduler;
	readonly #random: Random;
	readonly #joins = new Map<string, JoinRecord>();
	readonly #watchers = new Map<string, Watcher>();

	constructor(scheduler: Scheduler, random: Random) {
		this.#scheduler = scheduler;
		this.#random = random;
	}

	get watcherCount(): number {
		return this.#watchers.size;
	}

	/** Returns the newest version of an object, unaffected by faults. */
	newest(name: string): ConfigObject | undefined {
		return this.history.get(name)?.at(-1);
	}

	handle(id: string, request: PlatformRequest, watcher: Watcher): void {
		const delayMs = ANSWER_MS + this.faults.slowMs;
		this.#scheduler.schedule(delayMs, () => {
			const reply = this.#answer(id, request, watcher);
			if (reply !== undefined && watcher.isUp()) {
				watcher.send(reply);
			}
		});
	}

	/** Writes an object if its current version is the one that the writer has seen. */
	write(object: ConfigObject, seenVersion: number, done: (answer: WriteAnswer) => void): void {
		this.#scheduler.schedule(ANSWER_MS + this.faults.slowMs + this.#random.between(0, 5), () => {
			this.writes++;
			if (this.faults.outage) {
				done({kind: 'lost'});
				return;
			}

			const versions = this.history.get(object.name) ?? [];
			if (versions.length !== seenVersion) {
				done({kind: 'conflict'});
				return;
			}

			this.history.set(object.name, [...versions, object]);
			this.#notify(object);
			if (this.#random.chance(this.faults.loseAnswer)) {
				this.faultCounts.loseAnswer = (this.faultCounts.loseAnswer ?? 0) + 1;
				done({kind: 'lost'});
			} else {
				done({kind: 'ok', version: seenVersion + 1});
			}
		});
	}

	/** Reads all versions of an object, oldest first; passes undefined while the platform is down. */
	read(name: string, done: (versions: readonly ConfigObject[] | undefined) => void): void {
		this.#scheduler.schedule(ANSWER_MS + this.faults.slowMs, () => {
			this.reads++;
			done(this.faults.outage ? undefined : this.history.get(name) ?? []);
		});
	}

	#answer(id: string, request: PlatformRequest, watcher: Watcher): PlatformReply | undefined {
		const ok = !this.faults.outage;
		switch (request.op) {
			case 'load': {
				this.reads += 2;
				return {
					op: 'load', ok, config: ok ? this.#readAll() : [], joins: ok ? [...this.#joins.values()] : [],
				};
			}

			case 'join': {
				this.reads++;
				this.writes++;
				if (ok) {
					this.#joins.set(id, request.record);
				}

				return {op: 'join', ok};
			}

			case 'leave': {
				this.writes++;
				if (ok) {
					this.#joins.delete(request.id);
				}

				return undefined;
			}

			case 'watch': {
				this.reads++;
				if (request.on) {
					this.#watchers.set(id, watcher);
				} else {
					this.#watchers.delete(id);
				}

				return undefined;
			}
		}
	}

	#readAll(): ConfigObject[] {
		return [...this.history.values()].map(versions => {
			if (versions.length > 1 && this.#random.chance(this.faults.stale)) {
				this.faultCounts.stale = (this.faultCounts.stale ?? 0) + 1;
				return versions[this.#random.below(versions.length - 1)];
			}

			return versions.at(-1)!;
		});
	}

	// Platforms may repeat an older version after a newer one.
	#sendStale(name: string, watcher: Watcher): void {
		const versions = this.history.get(name)!;
		if (versions.length > 1 && this.#random.chance(this.faults.stale)) {
			this.faultCounts.stale = (this.faultCounts.stale ?? 0) + 1;
			watcher.send({op: 'config', objects: [versions[this.#random.below(versions.length - 1)]]});
		}
	}

	#notify(object: ConfigObject): void {
		for (const watcher of this.#watchers.values()) {
			this.#scheduler.schedule(ANSWER_MS + this.faults.slowMs, () => {
				if (!this.faults.outage && watcher.isUp()) {
					watcher.send({op: 'config', objects: [object]});
					this.#sendStale(object.name, watcher);
				}
			});
		}
	}
}
