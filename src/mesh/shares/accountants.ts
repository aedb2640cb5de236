import {Digest, chooseByRendezvous, electForDuty} from '../../core/index.js';
import {type HostEntry} from '../membership/host.js';
import {meshPeerOf} from '../membership/meshpeer.js';

/** How many daemons there are for each accountant: all report to each, so that more accountants mean more reports, not fewer at each. */
const DAEMONS_PER_ACCOUNTANT = 320;
/** The most accountants of a site: each daemon reports to each. */
const MAX_ACCOUNTANTS = 16;

/**
 * The daemons that keep the accounts of the shared budgets, as one daemon
 * elects them from the hosts that it can reach.
 */
export class Accountants {
	readonly hosts: readonly string[];
	/** A hash of the accountants: daemons with the same one report each budget to the same accountant. */
	readonly view: number;
	readonly #byBudget = new Map<string, string | undefined>();

	constructor(hosts: readonly string[]) {
		this.hosts = hosts.toSorted();
		const digest = new Digest();
		for (const host of hosts) {
			digest.toggle(host, 1);
		}

		this.view = digest.value;
	}

	/** The accountant of a budget; undefined if there is none at all. */
	of(budget: string): string | undefined {
		let host = this.#byBudget.get(budget);
		if (host === undefined) {
			host = chooseByRendezvous(budget, this.hosts);
			this.#byBudget.set(budget, host);
		}

		return host;
	}
}

/** Elects the accountants, spread over the failure domains. @param reachable the hosts that this daemon can reach, its own included */
export function electAccountants(reachable: ReadonlyArray<Pick<HostEntry, 'host' | 'failureDomain'>>): Accountants {
	const domainCount = new Set(reachable.map(({failureDomain}) => failureDomain)).size;
	const count = Math.min(reachable.length / DAEMONS_PER_ACCOUNTANT, MAX_ACCOUNTANTS);
	const elected = electForDuty('accounts', reachable.map(entry => meshPeerOf(entry)), Math.ceil(count / domainCount));
	return new Accountants(elected.map(({id}) => id));
}
