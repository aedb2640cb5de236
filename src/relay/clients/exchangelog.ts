import {type Clock} from '../../clock/index.js';
import {type EventLog, type LogFields} from '../../log/index.js';
import {type Attempts} from '../../mesh/index.js';

/** What the log lines of a request say of it. */
export type LoggedRequest = {
	readonly attempt: string;
	readonly route: string;
	readonly service: string;
	readonly rank: number;
	readonly organisation: string | undefined;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
};

/** Logs and counts what becomes of one request. */
export class ExchangeLog {
	readonly #context: {readonly clock: Clock; readonly log: EventLog};
	readonly #request: LoggedRequest;
	readonly #attempts: Pick<Attempts, 'host' | 'count'>;

	constructor(context: {readonly clock: Clock; readonly log: EventLog}, request: LoggedRequest, attempts: Pick<Attempts, 'host' | 'count'>) {
		this.#context = context;
		this.#request = request;
		this.#attempts = attempts;
	}

	event(name: string, reason: string, fields: LogFields = {}): void {
		const nowMs = this.#context.clock.nowMs();
		const {
			attempt, route, service, organisation, arrivedMs, deadlineMs,
		} = this.#request;
		const {host, count: tried} = this.#attempts;
		this.#context.log.event(name, {
			attempt, route, service, reason, host, tried, ageMs: Math.round(nowMs - arrivedMs), leftMs: Math.round(deadlineMs - nowMs),
			...(organisation === undefined ? {} : {organisation}),
			...fields,
		});
	}

	/** Records that this daemon answered with a status of its own. */
	ended(status: number, reason: string, fields: LogFields): void {
		const {service, rank, arrivedMs} = this.#request;
		const {clock, log: {registry}} = this.#context;
		const name = status === 503 ? 'refused' : (status === 429 ? 'quota_denied' : 'failed');
		this.event(name, reason, {...fields, status});
		registry.count(name === 'quota_denied' ? 'refused' : name, {service, rank, reason});
		registry.observe(name === 'failed' ? 'failed_after' : 'refused_after', {reason}, clock.nowMs() - arrivedMs);
	}

	/** Records that the target's answer was passed on. */
	answered(status: number, nowMs: number): void {
		const {service, rank, arrivedMs} = this.#request;
		const {registry} = this.#context.log;
		registry.count('answers', {service, status});
		registry.observe('answer', {service, rank}, nowMs - arrivedMs);
	}
}
