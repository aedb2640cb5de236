/**
 * Prints what the decisions on organisations cost, by the number of organisations, in processor time: the look-up of a
 * key, a check of a quota while the organisations are within it and while all are over it, and a fair choice
 * of the next call in a queue where each organisation waits.
 */
import process from 'node:process';
import {Random} from '../../fakes/index.js';
import {
	Authenticator, BudgetSharing, FairShares, type Organisation, Site, quotaLimits,
} from '../../src/mesh/index.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';

const ORGANISATION_COUNTS = [1, 72, 1000];
const KEYS_EACH = 2;
const ROUNDS = 1_000_000;
const WARM_UP_ROUNDS = 100_000;
const ROOM = {windowMs: 5000, over: 0.1, slack: 20};
const HIGH_RATE_PER_S = 1e9;
const LOW_RATE_PER_S = 0.01;
const INTERVAL_MS = 250;
/** Requests of each organisation between two reports to the accountant, which is this daemon itself; the reports are part of the cost. */
const REQUESTS_PER_INTERVAL = 20;

/** @returns processor time of one round, in µs */
function measure(round: (index: number) => void): number {
	for (let index = 0; index < WARM_UP_ROUNDS; index++) {
		round(index);
	}

	const start = process.cpuUsage();
	for (let index = 0; index < ROUNDS; index++) {
		round(index);
	}

	const {user, system} = process.cpuUsage(start);
	return (user + system) / ROUNDS;
}

const createOrganisations = (count: number, ratePerS: number): Organisation[] => Array.from({length: count}, (_, index) => ({
	name: `organisation-${index}`, keys: Array.from({length: KEYS_EACH}, (_key, key) => `key-${index}-${key}-of-some-length-as-they-have`), ratePerS, burst: ratePerS,
}));

function measureLookUp(count: number, isKnown: boolean): number {
	const route = createRoute('x', 'back');
	const organisations = createOrganisations(count, HIGH_RATE_PER_S);
	const site = new Site(1, {...createSiteSpec([route]), organisations});
	const authenticator = new Authenticator({isStrict: true, maxAgeMs: 5000});
	const headers = organisations.flatMap(({keys}) => keys.map(key => `Bearer ${isKnown ? key : `${key}?`}`));
	return measure(index => {
		authenticator.authenticate(site, {
			route, authorization: headers[index % headers.length], isNested: false, parentCall: undefined, confirmationAgeMs: 0,
		});
	});
}

function measureQuota(count: number, ratePerS: number): {us: number; admittedPart: number} {
	const random = new Random(1);
	const sharing = new BudgetSharing({
		host: 'a', room: ROOM, random: () => random.next(), onLow: () => undefined,
	});
	const organisations = createOrganisations(count, ratePerS);
	sharing.setLimits(quotaLimits(organisations), 0);
	sharing.setHosts([{host: 'a', failureDomain: 'a'}], 0);
	let nowMs = 0;
	let admitted = 0;
	let asked = 0;
	const us = measure(index => {
		if (index % (REQUESTS_PER_INTERVAL * count) === 0) {
			nowMs += INTERVAL_MS;
			sharing.check(1, nowMs);
			for (const {report} of sharing.takeReports(() => true, nowMs)) {
				sharing.account.record(report, nowMs);
				sharing.onNews(sharing.account.tell(report, nowMs), nowMs);
			}
		}

		asked++;
		admitted += sharing.trySpend(organisations[index % count].name, 0, nowMs).isAdmitted ? 1 : 0;
	});
	return {us, admittedPart: admitted / asked};
}

function measureFairChoice(count: number): number {
	const shares = new FairShares(() => 1, 0);
	const names = Array.from({length: count}, (_, index) => `organisation-${index}`);
	for (const name of [...names, ...names]) {
		shares.add(name, 20);
	}

	return measure(index => {
		const next = shares.next()!;
		shares.serve(next, 20, index / 10);
		shares.add(next, 20);
	});
}

for (const count of ORGANISATION_COUNTS) {
	const within = measureQuota(count, HIGH_RATE_PER_S);
	const over = measureQuota(count, LOW_RATE_PER_S);
	console.log([
		`organisations=${count}`,
		`known_key_us=${measureLookUp(count, true).toFixed(3)}`,
		`unknown_key_us=${measureLookUp(count, false).toFixed(3)}`,
		`quota_within_us=${within.us.toFixed(3)} (admitted ${within.admittedPart.toFixed(2)})`,
		`quota_over_us=${over.us.toFixed(3)} (admitted ${over.admittedPart.toFixed(2)})`,
		`fair_choice_us=${measureFairChoice(count).toFixed(3)}`,
	].join(' '));
}
