import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {type Quarantine, type QuarantineNews, type Survival} from '../../core/index.js';
import {type Frame, type FrameChannel, FrameTag} from './frame.js';
import {buildQuarantineFrame, readQuarantine} from './quarantineframe.js';

/** How long survivals wait for others to be sent with them, in ms: after a crash, dozens of requests come again at once. */
const SURVIVAL_DELAY_MS = 20;

export type QuarantineExchangeParts = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly quarantine: Quarantine;
	/** Sends a frame to all neighbors in the mesh. */
	readonly flood: (frame: Frame, except?: FrameChannel) => void;
};

/** Spreads over the mesh which requests were in flight at crashes, which had no part in them, and which are held. */
export class QuarantineExchange {
	readonly #parts: QuarantineExchangeParts;
	readonly #survivals: Survival[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(parts: QuarantineExchangeParts) {
		this.#parts = parts;
	}

	/** Tells the others what this daemon has concluded. */
	tell(news: QuarantineNews): void {
		this.#spread(news);
	}

	/** What a neighbor hears first; undefined if there is nothing. */
	buildStateFrame(): Frame | undefined {
		const {quarantine, clock} = this.#parts;
		return quarantine.isIdle ? undefined : buildQuarantineFrame(quarantine.describe(clock.nowMs()));
	}

	/** Handles a frame of the exchange. @returns whether it is one */
	handleFrame(frame: Frame, channel: FrameChannel): boolean {
		if (frame[0] !== FrameTag.quarantine) {
			return false;
		}

		const {quarantine, clock, log} = this.#parts;
		const news = quarantine.record(readQuarantine(frame), clock.nowMs());
		for (const {request, isHeld, strikes, leftMs, subject} of news.holds) {
			log.event(isHeld ? 'hold_heard' : 'hold_lifted', {
				fingerprint: request, strikes, leftMs, route: subject.route, attempt: subject.attemptId,
			});
		}

		this.#spread(news, channel);
		return true;
	}

	close(): void {
		clearTimeout(this.#timer);
	}

	#spread({crashes, survivals, holds}: QuarantineNews, except?: FrameChannel): void {
		if (crashes.length > 0 || holds.length > 0) {
			this.#parts.flood(buildQuarantineFrame({crashes, survivals: [], holds}), except);
		}

		if (survivals.length > 0) {
			this.#survivals.push(...survivals);
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#parts.flood(buildQuarantineFrame({crashes: [], survivals: this.#survivals.splice(0), holds: []}));
			}, SURVIVAL_DELAY_MS);
		}
	}
}
