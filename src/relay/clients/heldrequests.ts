import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type HostTable, type LoadShedder, PatientAdmission, type Route, type RoutedService, type WaitingRequest,
} from '../../mesh/index.js';
import {PeriodicCheck} from '../periodiccheck.js';

/** A root request whose start may be put off. */
export type PatientExchange = {
	readonly route: Route;
	readonly service: string;
	readonly attemptId: string;
	/** How long its client still waits, in ms. */
	readonly leftMs: number;
	readonly resume: () => void;
};

export type HeldRequestsOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly loadShedder: LoadShedder;
	readonly random: () => number;
	/** The memory that held requests may take, in bytes. */
	readonly maxBytes: number;
};

type Held = WaitingRequest & {readonly heldAtMs: number; readonly exchange: PatientExchange};

/** Holds the root requests that wait at this daemon, and starts them again. */
export class HeldRequests {
	/** @param maxBytes the memory that held requests may take, in bytes; undefined if none are held */
	static create(maxBytes: number | undefined, options: Omit<HeldRequestsOptions, 'maxBytes'>): HeldRequests | undefined {
		return maxBytes === undefined ? undefined : new HeldRequests({...options, maxBytes});
	}

	readonly #options: HeldRequestsOptions;
	readonly #admission: PatientAdmission<Held>;
	readonly #heldByExchange = new Map<PatientExchange, Held>();
	readonly #startedMs = new WeakMap<PatientExchange, number>();
	readonly #heldAtMs = new WeakMap<PatientExchange, number>();
	readonly #routedServices = new Map<string, RoutedService>();
	readonly #check = new PeriodicCheck(() => this.#release());

	constructor(options: HeldRequestsOptions) {
		this.#options = options;
		this.#admission = new PatientAdmission(options.maxBytes, options.random);
	}

	/** Decides on a root request that would start now. @returns `start`, `held`, or after how many ms its client should come back */
	receive(exchange: PatientExchange, bodyBytes: number): 'start' | 'held' | number {
		const {route, service, attemptId} = exchange;
		const {clock, log} = this.#options;
		const nowMs = clock.nowMs();
		const heldMs = nowMs - (this.#heldAtMs.get(exchange) ?? nowMs);
		const leftMs = exchange.leftMs - heldMs;
		const routedService = {route: route.name, service};
		const kind = `${route.name} ${service}`;
		const chance = this.#chanceOf(routedService, nowMs);
		const request = {
			kind, route: route.name, leftMs, timeoutMs: route.timeoutMs, heldMs, chance,
		};
		const decision = this.#admission.decide(request, nowMs);
		const fields = {
			attempt: attemptId, route: route.name, service, chance: chance.toFixed(3), leftMs: Math.round(leftMs),
		};
		if (decision.action === 'hold') {
			const held: Held = {
				kind, rank: route.rank, lastStartMs: decision.lastStartMs, sizeBytes: bodyBytes, heldAtMs: nowMs, exchange,
			};
			if (this.#admission.hold(held)) {
				log.registry.count('held', {service, rank: route.rank});
				log.event('held', {...fields, holdMs: Math.round(decision.lastStartMs - nowMs)});
				this.#routedServices.set(kind, routedService);
				this.#heldByExchange.set(exchange, held);
				this.#heldAtMs.set(exchange, this.#heldAtMs.get(exchange) ?? nowMs);
				this.#check.schedule();
				return 'held';
			}

			log.registry.count('hold_full', {service});
		}

		const ending = decision.action === 'hold' ? this.#admission.turnBack(request, nowMs) : decision;
		if (ending.action === 'return') {
			log.registry.count('turned_back', {service, rank: route.rank});
			log.event('turned_back', {...fields, afterMs: Math.round(ending.afterMs), heldMs: Math.round(heldMs)});
			return ending.afterMs;
		}

		this.#startedMs.set(exchange, nowMs);
		return 'start';
	}

	/** Learns how long a root request takes from its start to its answer. */
	onAnswered(exchange: PatientExchange, status: number): void {
		const startedMs = this.#startedMs.get(exchange);
		if (startedMs !== undefined && status < 500) {
			this.#admission.recordAnswer(exchange.route.name, this.#options.clock.nowMs() - startedMs);
		}
	}

	/** Forgets a request that has ended. */
	remove(exchange: PatientExchange): void {
		const held = this.#heldByExchange.get(exchange);
		if (held !== undefined) {
			this.#heldByExchange.delete(exchange);
			this.#admission.remove(held);
		}
	}

	#release(): boolean {
		const {clock, log} = this.#options;
		const nowMs = clock.nowMs();
		for (const {exchange, kind, heldAtMs, lastStartMs} of this.#admission.release(kind => this.#chanceOf(this.#routedServices.get(kind)!, nowMs), nowMs)) {
			this.#heldByExchange.delete(exchange);
			log.registry.observe('held', this.#routedServices.get(kind)!, nowMs - heldAtMs);
			log.event('released', {attempt: exchange.attemptId, heldMs: Math.round(nowMs - heldAtMs), reason: nowMs >= lastStartMs ? 'last-moment' : 'recovered'});
			exchange.resume();
		}

		return this.#admission.waiting > 0;
	}

	#chanceOf(routedService: RoutedService, nowMs: number): number {
		const {hosts, loadShedder} = this.#options;
		return loadShedder.chanceOf(routedService, service => hosts.serving(service).length, nowMs);
	}
}
