import {
	type MeshPeer, chooseByRendezvous, chooseNeighbors, electForDuty,
} from '../../core/index.js';
import {type HostEntry} from './host.js';
import {meshPeerOf} from './meshpeer.js';

/** How many daemons of a failure domain keep links to other domains: a few, as some may fail at once. */
const GATEWAYS_PER_DOMAIN = 3;

type Located = Pick<HostEntry, 'host' | 'failureDomain'>;

/**
 * Chooses the hosts that a daemon keeps links to for gossip. Within a failure
 * domain all daemons form one sparse mesh; across domains only a few elected
 * gateways are linked, and each other daemon is linked to one of them, so that
 * news crosses in few steps. Each daemon decides alone: a gateway links to those
 * that it can reach, whether or not these know that they are gateways.
 * Handles the load pattern in which each of many daemons tells other failure
 * domains what these have heard already.
 */
export function chooseMeshNeighbors(self: Located, reachable: readonly Located[]): ReadonlySet<string> {
	const own = meshPeerOf(self);
	const others = reachable.map(entry => meshPeerOf(entry));
	const neighbors = chooseNeighbors(own, others.filter(({failureDomain}) => failureDomain === own.failureDomain)).map(({id}) => id);
	return new Set([...neighbors, ...chooseWayAcross(own, others)]);
}

function chooseWayAcross(self: MeshPeer, others: readonly MeshPeer[]): string[] {
	const gateways = new Map<string, string[]>();
	for (const {id, failureDomain} of electForDuty('gateway', [self, ...others], GATEWAYS_PER_DOMAIN)) {
		gateways.set(failureDomain, [...gateways.get(failureDomain) ?? [], id]);
	}

	const here = gateways.get(self.failureDomain)!;
	gateways.delete(self.failureDomain);
	const place = here.indexOf(self.id);
	if (place === -1) {
		return [chooseByRendezvous(self.id, here)!];
	}

	// The two sides of a pair of domains count differently, so that the links that they open form a ring.
	return [...gateways].map(([domain, there]) => there[(place + (domain < self.failureDomain ? 1 : 0)) % there.length]);
}
