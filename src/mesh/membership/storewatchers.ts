import {isElectedForDuty} from '../../core/index.js';
import {type HostEntry} from './host.js';
import {meshPeerOf} from './meshpeer.js';

/** The fewest daemons that watch the store for a site: so many are hardly ever cut off from it at once. */
const MIN_WATCHERS = 4;

/** The daemons that watch the store for all others. */
export type StoreWatchers = {
	/** Whether this daemon is one of them. */
	readonly isElected: boolean;
	readonly count: number;
};

/**
 * Elects the daemons that watch the store, spread over the failure domains.
 * Each daemon decides alone; those that know different hosts may elect some
 * more or some fewer, which costs calls to the store or is made up for by `FreshnessLease`.
 * Handles the load pattern in which the calls to the store grow with the number
 * of daemons times the number of changes.
 */
export function electStoreWatchers(self: Pick<HostEntry, 'host' | 'failureDomain'>, reachable: readonly HostEntry[]): StoreWatchers {
	const domains = new Set([self.failureDomain, ...reachable.map(({failureDomain}) => failureDomain)]);
	const perDomain = Math.ceil(MIN_WATCHERS / domains.size);
	return {
		isElected: isElectedForDuty('watch', meshPeerOf(self), reachable.map(entry => meshPeerOf(entry)), perDomain),
		count: Math.min(perDomain * domains.size, reachable.length + 1),
	};
}
