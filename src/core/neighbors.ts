import murmurhash from 'murmurhash';
import {type Member, isRunning} from './member.js';

const NEIGHBORS_IN_DOMAIN = 2;
const NEIGHBORS_IN_OTHER_DOMAINS = 2;
const NEIGHBORS_IN_OTHER_REGIONS = 1;

/**
 * Returns the members that a daemon keeps links to. The successor on a ring of
 * all members keeps the whole mesh connected; the others, chosen by rendezvous
 * hashing, keep paths short and spread over failure domains and regions.
 */
export function chooseNeighbors(self: Member, members: Iterable<Member>): Member[] {
	const others = [...members].filter(member => member.id !== self.id && isRunning(member));
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

/** Whether rendezvous hashing elects a daemon as one of the `count` in its failure domain that perform a duty. */
export function isElectedForDuty(duty: string, self: Member, members: Iterable<Member>, count: number): boolean {
	const weightOf = (id: string) => murmurhash.v3(`${duty}:${id}`);
	const ownWeight = weightOf(self.id);
	let lowerCount = 0;
	for (const member of members) {
		if (member.failureDomain === self.failureDomain && member.region === self.region
			&& member.id !== self.id && isRunning(member) && weightOf(member.id) < ownWeight) {
			lowerCount++;
		}
	}

	return lowerCount < count;
}

function findSuccessor(self: Member, others: readonly Member[]): Member | undefined {
	const ownHash = murmurhash.v3(self.id);
	let next: Member | undefined;
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
