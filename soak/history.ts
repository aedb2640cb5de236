import {type Organisation} from '../src/mesh/index.js';

/** A configuration that the operator wrote, and when. */
export type WrittenSite = {readonly atMs: number; readonly organisations: readonly Organisation[]};
/** A time in which the store, or a daemon, didn't work. */
export type Disturbance = {readonly fromMs: number; readonly untilMs: number; readonly what: 'store' | 'killed' | 'stopped' | 'frozen' | 'target' | 'heat'; readonly host?: number};

/** What was done to the site, for the checks of what its callers and targets saw. All times are in ms since 1970. */
export class History {
	readonly sites: WrittenSite[] = [];
	readonly disturbances: Disturbance[] = [];
	/** When and how daemons ended that hadn't been told to. */
	readonly ownEnds: Array<{readonly host: number; readonly atMs: number; readonly how: string}> = [];
	/** When one request crashed targets. */
	readonly poisons: Array<{readonly fromMs: number; readonly untilMs: number}> = [];

	/** When a target drained: from the first acknowledgement until it ended. */
	readonly drains: Array<{readonly host: number; readonly acknowledgedMs: number; readonly untilMs: number}> = [];

	/** The organisations that a daemon may have known in this time: those of the newest site at its beginning, and of each later one. */
	sitesBetween(fromMs: number, untilMs: number): WrittenSite[] {
		const known = this.sites.filter(({atMs}, index) => {
			const nextMs = this.sites.at(index + 1)?.atMs ?? Number.POSITIVE_INFINITY;
			return atMs <= untilMs && nextMs > fromMs;
		});
		return known.length === 0 ? this.sites.slice(0, 1) : known;
	}

	/** The organisations that may have held the key in this time; undefined among them if it may have been nobody's. */
	holdersOf(key: string, fromMs: number, untilMs: number): Set<string | undefined> {
		return new Set(this.sitesBetween(fromMs, untilMs).map(({organisations}) => organisations.find(({keys}) => keys.includes(key))?.name));
	}

	/** Since when a site may be in force late: by the bound, and before that for as long as the store was away or a daemon didn't run. */
	staleSince(atMs: number, boundMs: number): number {
		let sinceMs = atMs - boundMs;
		for (const {fromMs, untilMs, what} of this.disturbances.toSorted((a, b) => b.untilMs - a.untilMs)) {
			if (what !== 'target' && what !== 'heat' && untilMs >= sinceMs && fromMs <= atMs) {
				sinceMs = Math.min(sinceMs, fromMs - boundMs);
			}
		}

		return sinceMs;
	}

	/** Whether a disturbance of this kind, of this host or of none, lies in the time. */
	isDisturbed(whats: ReadonlyArray<Disturbance['what']>, fromMs: number, untilMs: number, host?: number): boolean {
		return this.disturbances.some(one => whats.includes(one.what) && (host === undefined || one.host === host) && one.fromMs <= untilMs && one.untilMs >= fromMs);
	}

	/** The stops of these hosts that began at most so long before. */
	stopsAround(atMs: number, forMs: number, hosts: readonly number[]): Disturbance[] {
		return this.disturbances.filter(({what, host, fromMs}) => what === 'stopped' && hosts.includes(host!) && fromMs <= atMs && atMs <= fromMs + forMs);
	}
}
