import {type Hold, type Quarantine, type QuarantineNews} from '../../core/index.js';

/** What a daemon holds back, and what it suspects. */
export type QuarantineReport = {
	readonly host: string;
	/** Whether requests are held back at all. */
	readonly isEnabled: boolean;
	readonly held: readonly Hold[];
	readonly suspects: ReadonlyArray<{readonly request: string; readonly crashes: number}>;
};

/** What became of an operator's word to let a request through. */
export type LiftReport = {readonly host: string; readonly request: string; readonly isLifted: boolean};

export type QuarantineReporterParts = {
	readonly host: string;
	readonly quarantine: Quarantine;
	readonly nowMs: () => number;
	/** Called with what the other daemons should hear. */
	readonly onNews: (news: QuarantineNews) => void;
	readonly onLifted: (hold: Hold) => void;
};

/** Shows operators which requests are held back, and lets these through at their word. */
export class QuarantineReporter {
	readonly #parts: QuarantineReporterParts;

	constructor(parts: QuarantineReporterParts) {
		this.#parts = parts;
	}

	report(): QuarantineReport {
		const {host, quarantine, nowMs} = this.#parts;
		return {
			host, isEnabled: quarantine.isEnabled, held: quarantine.describe(nowMs()).holds.filter(({isHeld}) => isHeld), suspects: quarantine.suspects(),
		};
	}

	/** Lets a request through at all daemons. */
	lift(request: string): LiftReport {
		const {host, quarantine, nowMs, onNews, onLifted} = this.#parts;
		const news = quarantine.lift(request, nowMs());
		if (news !== undefined) {
			onLifted(news.holds[0]);
			onNews(news);
		}

		return {host, request, isLifted: news !== undefined};
	}
}
