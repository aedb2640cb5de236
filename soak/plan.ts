import {createHash} from 'node:crypto';
import {Random} from '../fakes/index.js';
import {type Organisation} from '../src/mesh/index.js';
import {type StoreFault} from '../standins/store.js';

/** What happens to a daemon's process: SIGTERM or SIGKILL and a new start, SIGSTOP for a time, SIGHUP. */
export type DaemonFault = 'stop' | 'kill' | 'freeze' | 'reload';
/** What happens to a target: it is slow, sheds all calls, spoils answers, sends odd statuses, crashes and is down for a time, or drains and ends. */
export type TargetFault = 'slow' | 'shedding' | 'spoil' | 'odd' | 'crash' | 'drain';
/** How the operator changes an organisation. */
export type OrganisationChange = 'withdraw' | 'withdraw-all' | 'move' | 'add' | 'limit';

/** One event of a plan, in ms since the faults begin. */
export type SoakEvent = {readonly atMs: number} & (
	| {readonly type: 'daemon'; readonly fault: DaemonFault; readonly host: number; readonly forMs: number}
	| {readonly type: 'store'; readonly fault: StoreFault; readonly forMs: number}
	| {readonly type: 'site'; readonly change: OrganisationChange; readonly organisations: readonly Organisation[]}
	| {readonly type: 'target'; readonly host: number; readonly behaviour: TargetFault; readonly forMs: number}
	| {readonly type: 'poison'; readonly forMs: number}
	| {readonly type: 'heat'; readonly factor: number; readonly forMs: number});

/** What one seed plays. */
export type SoakPlan = {readonly seed: number; readonly hosts: number; readonly isStrict: boolean; readonly faultMs: number; readonly events: readonly SoakEvent[]};

/** The services of the hosts, in turn; a request of any may enter at each. */
const HOST_SERVICES = ['front', 'front', 'back', 'back', 'back'] as const;
export const DEFAULT_HOSTS: number = HOST_SERVICES.length;
export const serviceOf = (host: number) => HOST_SERVICES[host % HOST_SERVICES.length];
/** The usual limit of the limited organisation, in requests per second, and what it may be changed to. */
export const USUAL_LIMIT = 15;
const OTHER_LIMITS = [6, 30];
export const LIMITED = 'limited';
/** The path that crashes targets while a plan says so; sent with a key of `spare`. */
export const DEADLY_PATH = '/read/deadly';
/** The organisations at the start and after the faults. Only one has a limit; `spare` sends what crashes targets. */
export const USUAL_ORGANISATIONS: readonly Organisation[] = [
	{
		name: LIMITED, keys: ['key-limited-0', 'key-limited-1'], ratePerS: USUAL_LIMIT, burst: USUAL_LIMIT,
	},
	...['hot', 'small-a', 'small-b'].map(name => ({name, keys: [`key-${name}-0`, `key-${name}-1`], burst: 0})),
	{name: 'spare', keys: ['key-spare-0'], burst: 0},
];

const MEAN_PAUSE_MS = 1200;
const MAX_SERIES = 3;
/** Events of a series lie so close that they overlap. */
const SERIES_PAUSE_MS = 250;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 2500;
/** A stopped or killed daemon is away so long. */
const MAX_AWAY_MS = 1500;
const DAEMON_FAULTS: readonly DaemonFault[] = ['stop', 'kill', 'freeze', 'reload'];
const STORE_FAULTS: readonly StoreFault[] = ['refuse', 'silent', 'lose-answer', 'garble'];
const CHANGES: readonly OrganisationChange[] = ['withdraw', 'withdraw-all', 'move', 'add', 'limit'];
const TYPES = ['daemon', 'daemon', 'daemon', 'site', 'site', 'site', 'store', 'target', 'target', 'poison', 'heat'] as const;
/** How many times as long as other faults a request crashes targets: longer than it is held. */
const POISON_LENGTH = 3;

/** How long a target drains, in ms: longer than its daemon may be away. */
const MIN_DRAIN_MS = 3000;
const MAX_DRAIN_MS = 5000;

/** Creates the plan of a seed: the same one each time. */
export function createPlan(seed: number, faultMs: number, hosts = DEFAULT_HOSTS): SoakPlan {
	const random = new Random(mixSeed(seed));
	const isStrict = random.chance(0.5);
	const events: SoakEvent[] = [];
	let organisations = USUAL_ORGANISATIONS;
	let atMs = 0;
	while (atMs < faultMs) {
		const length = 1 + random.below(MAX_SERIES);
		for (let index = 0; index < length; index++) {
			const event = createEvent(random, Math.round(atMs + (index * random.between(0, SERIES_PAUSE_MS))), {organisations, hosts});
			organisations = event.type === 'site' ? event.organisations : organisations;
			events.push(event);
		}

		atMs += random.exponential(MEAN_PAUSE_MS) + SERIES_PAUSE_MS;
	}

	events.push(...createDrains(seed, faultMs, hosts));
	return {
		seed, hosts, isStrict, faultMs, events: events.toSorted((a, b) => a.atMs - b.atMs),
	};
}

/**
 * Creates events in which a target drains while its daemon is disturbed, alone or with all others of its service, as a draining target gets calls when no
 * other is left; and one in which a target sends odd statuses. They are drawn apart: the other events of a seed stay as they are.
 */
function createDrains(seed: number, faultMs: number, hosts: number): SoakEvent[] {
	const random = new Random(mixSeed(`${seed}/drains`));
	const first = random.below(hosts);
	const isAlone = random.chance(0.3);
	const draining = Array.from({length: hosts}, (_none, host) => host).filter(host => isAlone ? host === first : serviceOf(host) === serviceOf(first));
	const atMs = Math.round(random.between(0, faultMs / 2));
	const events = draining.flatMap((host): SoakEvent[] => [
		{
			type: 'target', atMs, host, behaviour: 'drain', forMs: Math.round(random.between(MIN_DRAIN_MS, MAX_DRAIN_MS)),
		},
		...Array.from({length: 1 + random.below(MAX_SERIES)}, (): SoakEvent => ({
			type: 'daemon', atMs: Math.round(atMs + random.between(MIN_FAULT_MS, MIN_DRAIN_MS)), host, fault: random.pick(['kill', 'kill', 'stop', 'freeze']), forMs: Math.round(random.between(0, MIN_FAULT_MS)),
		})),
	]);
	return [...events, {
		type: 'target', atMs: Math.round(random.between(0, faultMs)), host: random.below(hosts), behaviour: 'odd', forMs: Math.round(random.between(MIN_FAULT_MS, MAX_FAULT_MS)),
	}];
}

// The first numbers of neighbouring seeds would be much alike.
/** Derives the seed of a sequence of random numbers. */
export function mixSeed(seed: number | string): number {
	return createHash('sha256').update(`${seed}`).digest().readInt32LE(0);
}

function createEvent(random: Random, atMs: number, {organisations, hosts}: {organisations: readonly Organisation[]; hosts: number}): SoakEvent {
	const type = random.pick(TYPES);
	const host = random.below(hosts);
	const forMs = Math.round(random.between(MIN_FAULT_MS, MAX_FAULT_MS));
	switch (type) {
		case 'daemon': {
			return {
				type, atMs, host, fault: random.pick(DAEMON_FAULTS), forMs: Math.min(forMs, MAX_AWAY_MS),
			};
		}

		case 'store': {
			return {
				type, atMs, fault: random.pick(STORE_FAULTS), forMs: 2 * forMs,
			};
		}

		case 'site': {
			const change = random.pick(CHANGES);
			return {
				type, atMs, change, organisations: changeOrganisations(change, organisations, random),
			};
		}

		case 'target': {
			return {
				type, atMs, host, behaviour: random.pick(['slow', 'shedding', 'spoil', 'spoil', 'crash', 'crash']), forMs,
			};
		}

		case 'poison': {
			return {type, atMs, forMs: forMs * POISON_LENGTH};
		}

		case 'heat': {
			return {
				type, atMs, factor: random.pick([2, 4]), forMs,
			};
		}
	}
}

function changeOrganisations(change: OrganisationChange, organisations: readonly Organisation[], random: Random): Organisation[] {
	const chosen = random.pick(organisations.filter(({name}) => name !== 'spare'));
	const key = random.pick([`key-${chosen.name}-0`, `key-${chosen.name}-1`]);
	const without = organisations.map(organisation => ({...organisation, keys: organisation.keys.filter(one => one !== key)}));
	const give = (name: string) => without.map(organisation => organisation.name === name ? {...organisation, keys: [...organisation.keys, key]} : organisation);
	switch (change) {
		case 'withdraw': {
			return without;
		}

		case 'withdraw-all': {
			return organisations.map(organisation => organisation.name === chosen.name ? {...organisation, keys: []} : organisation);
		}

		case 'move': {
			return give(random.pick(organisations.filter(({name}) => name !== chosen.name)).name);
		}

		case 'add': {
			return give(chosen.name);
		}

		case 'limit': {
			const ratePerS = random.pick([...OTHER_LIMITS, USUAL_LIMIT]);
			return organisations.map(organisation => organisation.name === LIMITED ? {...organisation, ratePerS, burst: ratePerS} : organisation);
		}
	}
}
