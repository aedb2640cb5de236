import murmurhash from 'murmurhash';
import {type Member, isRunning} from './member.js';

const IN_DOMAIN = 2;
const ACROSS_DOMAINS = 2;
const ACROSS_REGIONS = 1;

/**
 * The members that a daemon keeps links to. The successor on a ring over all
 * members makes the whole mesh connected; the rest, by rendezvous hash, keep it
 * shallow and spread over failure domains and regions.
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
	const successor = successorOf(self, others);
	return [...new Set([
		...(successor === undefined ? [] : [successor]),
		...sameDomain.slice(0, IN_DOMAIN),
		...sameRegion.slice(0, ACROSS_DOMAINS),
		...elsewhere.slice(0, ACROSS_REGIONS),
	])];
}

/** Whether a daemon is one of the `count` of its failure domain that hold a duty. */
export function isElectedForDuty(duty: string, self: Member, members: Iterable<Member>, count: number): boolean {
	const weight = (id: string) => murmurhash.v3(`${duty}:${id}`);
	const own = weight(self.id);
	let ahead = 0;
	for (const member of members) {
		if (member.failureDomain === self.failureDomain && member.region === self.region
			&& member.id !== self.id && isRunning(member) && weight(member.id) < own) {
			ahead++;
		}
	}

	return ahead < count;
}

function successorOf(self: Member, others: readonly Member[]): Member | undefined {
	const own = murmurhash.v3(self.id);
	let next: Member | undefined;
	let nextDistance = Number.POSITIVE_INFINITY;
	for (const member of others) {
		const distance = (murmurhash.v3(member.id) - own + 0x1_00_00_00_00) % 0x1_00_00_00_00;
		if (distance < nextDistance) {
			next = member;
			nextDistance = distance;
		}
	}

	return next;
}
