import {type Dispatcher, Pool} from 'undici';
import {type Histogram, build} from 'hdr-histogram-js';

const POOL_CONNECTIONS = 64;
const MICROS_PER_MS = 1000;

/** Latencies of answers with status 200 in microseconds, and the numbers of failed and of all finished requests. */
export type Timing = {readonly histogram: Histogram; failed: number; done: number};

export function createTiming(): Timing {
	return {
		histogram: build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3}), failed: 0, done: 0,
	};
}

/** Returns a percentile of the latencies in ms. */
export function percentileMs({histogram}: Timing, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

// Handles responses by callbacks rather than promises, so that the load
// generator itself adds little to the measured times.
class TimingHandler implements Dispatcher.DispatchHandler {
	readonly #timing: Timing;
	readonly #startMs = performance.now();
	#status = 0;

	constructor(timing: Timing) {
		this.#timing = timing;
	}

	onRequestStart(): void {
		// The request needs no handling before its response.
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this.#status = status;
	}

	onResponseData(): void {
		// The body is discarded.
	}

	onResponseEnd(): void {
		this.#timing.done++;
		if (this.#status === 200) {
			this.#timing.histogram.recordValue(Math.round((performance.now() - this.#startMs) * MICROS_PER_MS));
		} else {
			this.#timing.failed++;
		}
	}

	onResponseError(): void {
		this.#timing.done++;
		this.#timing.failed++;
	}
}

/** Sends GET requests for one path to one origin over a connection pool. */
export class LoadGenerator {
	readonly #pool: Pool;
	readonly #path: string;

	constructor(origin: string, path: string) {
		this.#pool = new Pool(origin, {connections: POOL_CONNECTIONS, pipelining: 1});
		this.#path = path;
	}

	send(timing: Timing): void {
		this.#pool.dispatch({path: this.#path, method: 'GET'}, new TimingHandler(timing));
	}

	async close(): Promise<void> {
		await this.#pool.close();
	}
}

/**
 * Sends requests with several generators in turn, evenly and each at the same rate.
 * @returns one second after the last request is sent, whether or not all are answered
 */
export async function driveLoads(loads: ReadonlyArray<{load: LoadGenerator; timing: Timing}>, ratePerSecond: number, durationMs: number): Promise<void> {
	const startMs = performance.now();
	const requestCount = Math.floor(ratePerSecond * durationMs / 1000) * loads.length;
	const gapMs = 1000 / (ratePerSecond * loads.length);
	let sent = 0;
	await new Promise<void>(resolve => {
		const sendDue = () => {
			const elapsedMs = performance.now() - startMs;
			while (sent < requestCount && sent * gapMs <= elapsedMs) {
				const {load, timing} = loads[sent % loads.length];
				load.send(timing);
				sent++;
			}

			if (sent >= requestCount) {
				setTimeout(resolve, 1000);
			} else if (gapMs > 2) {
				setTimeout(sendDue, Math.max(0, (sent * gapMs) - elapsedMs - 1));
			} else {
				setImmediate(sendDue);
			}
		};

		sendDue();
	});
}
