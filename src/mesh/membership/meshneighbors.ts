import {type MeshPeer, chooseNeighbors, electForDuty} from '../../core/index.js';
import {type HostEntry} from './host.js';
import {meshPeerOf} from './meshpeer.js';

/** How many daemons of a failure domain keep links to other domains: a few, as some may fail at once. */
const GATEWAYS_PER_DOMAIN = 3;

type Located = Pick<HostEntry, 'host' | 'failureDomain'>;

/**
 * Chooses the hosts that a daemon keeps links to for gossip. Within a failure
 * domain all daemons form one sparse mesh; across domains only a few elected
 * gateways are linked. Each daemon decides alone: a gateway links to those that
 * it can reach, whether or not these know that they are gateways.
 * Handles the load pattern in which each of many daemons tells other failure
 * domains what these have heard already.
 */
export function chooseMeshNeighbors(self: Located, reachable: readonly Located[]): ReadonlySet<string> {
	const own = meshPeerOf(self);
	const others = reachable.map(entry => meshPeerOf(entry));
	const neighbors = chooseNeighbors(own, others.filter(({failureDomain}) => failureDomain === own.failureDomain));
	return new Set([...neighbors, ...chooseAcross(own, others)].map(({id}) => id));
}

function chooseAcross(self: MeshPeer, others: readonly MeshPeer[]): MeshPeer[] {
	const gateways = new Map<string, MeshPeer[]>();
	for (const gateway of electForDuty('gateway', [self, ...others], GATEWAYS_PER_DOMAIN)) {
		gateways.set(gateway.failureDomain, [...gateways.get(gateway.failureDomain) ?? [], gateway]);
	}

	const place = gateways.get(self.failureDomain)!.indexOf(self);
	gateways.delete(self.failureDomain);
	// The two sides of a pair of domains count differently, so that the links that they open form a ring.
	return place === -1 ? [] : [...gateways].map(([domain, there]) => there[(place + (domain < self.failureDomain ? 1 : 0)) % there.length]);
}
