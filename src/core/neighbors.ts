import murmurhash from 'murmurhash';

/** What the mesh needs to know of a daemon to choose its links. */
export type MeshPeer = {readonly id: string; readonly region: string; readonly failureDomain: string};

const NEIGHBORS_IN_DOMAIN = 2;
const NEIGHBORS_IN_OTHER_DOMAINS = 2;
const NEIGHBORS_IN_OTHER_REGIONS = 1;

/**
 * Returns the running daemons that a daemon keeps links to. The successor on a
 * ring of all of them keeps the whole mesh connected; the others, chosen by
 * rendezvous hashing, keep paths short and spread over failure domains and regions.
 */
export function chooseNeighbors<Peer extends MeshPeer>(self: MeshPeer, running: Iterable<Peer>): Peer[] {
	const others = [...running].filter(member => member.id !== self.id);
	const ranked = others
		.map(member => ({member, weight: murmurhash.v3(`${self.id}>${member.id}`)}))
		.toSorted((a, b) => a.weight - b.weight || (a.member.id < b.member.id ? -1 : 1))
		.map(({member}) => member);
	const sameDomain = ranked.filter(member => member.region === self.region && member.failureDomain === self.failureDomain);
	const sameRegion = ranked.filter(member => member.region === self.region && member.failureDomain !== self.failureDomain);
	const elsewhere = ranked.filter(member => member.region !== self.region);
	const successor = findSuccessor(self, others);
	return [...new Set([
		...(successor === undefined ? [] : [successor]),
		...sameDomain.slice(0, NEIGHBORS_IN_DOMAIN),
		...sameRegion.slice(0, NEIGHBORS_IN_OTHER_DOMAINS),
		...elsewhere.slice(0, NEIGHBORS_IN_OTHER_REGIONS),
	])];
}

/** Whether rendezvous hashing elects a daemon as one of the `count` running ones in its failure domain that perform a duty. */
export function isElectedForDuty(duty: string, self: MeshPeer, running: Iterable<MeshPeer>, count: number): boolean {
	const weightOf = (id: string) => murmurhash.v3(`${duty}:${id}`);
	const ownWeight = weightOf(self.id);
	let lowerCount = 0;
	for (const member of running) {
		if (member.failureDomain === self.failureDomain && member.region === self.region
			&& member.id !== self.id && weightOf(member.id) < ownWeight) {
			lowerCount++;
		}
	}

	return lowerCount < count;
}

/** Chooses by rendezvous hashing the running daemons that perform a duty: `count` in each failure domain. */
export function electForDuty<Peer extends MeshPeer>(duty: string, running: Iterable<Peer>, count: number): Peer[] {
	const domains = new Map<string, Array<{member: Peer; weight: number}>>();
	for (const member of running) {
		const key = `${member.region}/${member.failureDomain}`;
		const domain = domains.get(key) ?? [];
		domain.push({member, weight: murmurhash.v3(`${duty}:${member.id}`)});
		domains.set(key, domain);
	}

	return [...domains.values()].flatMap(domain => domain.toSorted((a, b) => a.weight - b.weight || (a.member.id < b.member.id ? -1 : 1)).slice(0, count).map(({member}) => member));
}

/** Assigns a key to one of the ids by rendezvous hashing; undefined if there are none. */
export function chooseByRendezvous(key: string, ids: readonly string[]): string | undefined {
	let chosen: string | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const id of ids) {
		const weight = murmurhash.v3(`${key}@${id}`);
		if (weight < lowest) {
			chosen = id;
			lowest = weight;
		}
	}

	return chosen;
}

function findSuccessor<Peer extends MeshPeer>(self: MeshPeer, others: readonly Peer[]): Peer | undefined {
	const ownHash = murmurhash.v3(self.id);
	let next: Peer | undefined;
	let nextDistance = Number.POSITIVE_INFINITY;
	for (const member of others) {
		const distance = (murmurhash.v3(member.id) - ownHash + 0x1_00_00_00_00) % 0x1_00_00_00_00;
		if (distance < nextDistance) {
			next = member;
			nextDistance = distance;
		}
	}

	return next;
}
