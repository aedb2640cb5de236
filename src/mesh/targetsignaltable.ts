import {type HostEntry} from './host.js';
import {type TargetSignals} from './targetsignals.js';

type HeardSignals = {readonly instance: string; readonly signals: TargetSignals};

/** What the targets said of themselves in the answers that this daemon has passed on. */
export class TargetSignalTable {
	readonly #hosts = new Map<string, HeardSignals>();

	/** Records what the target of the host said in its newest answer. @returns whether it differs from what it said before */
	record({host, target}: HostEntry, signals: TargetSignals): boolean {
		const instance = target?.id ?? '';
		const known = this.#hosts.get(host);
		if (signals.rateLimitPerS === undefined && !signals.isLeaving) {
			return this.#hosts.delete(host);
		}

		this.#hosts.set(host, {instance, signals});
		return known?.instance !== instance || known.signals.rateLimitPerS !== signals.rateLimitPerS || known.signals.isLeaving !== signals.isLeaving;
	}

	/** The rate limit that the host's target named last, in requests per second. */
	rateLimitOf({host, target}: HostEntry): number | undefined {
		const known = this.#hosts.get(host);
		return known !== undefined && known.instance === target?.id ? known.signals.rateLimitPerS : undefined;
	}

	forget(host: string): void {
		this.#hosts.delete(host);
	}
}
