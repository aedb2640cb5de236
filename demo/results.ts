import {request} from 'undici';
import {type CallerStandIn} from '../standins/caller.js';
import {type RunRecord} from '../standins/target.js';
import {type Site} from './site.js';

/** Fetches the run records of all targets, grouped by service. */
export async function fetchRunsByService(site: Site): Promise<Map<string, RunRecord[]>> {
	const runs = new Map<string, RunRecord[]>();
	for (const host of site.hosts) {
		// eslint-disable-next-line no-await-in-loop
		const response = await request(`http://${host.target}/_standin/runs`);
		// eslint-disable-next-line no-await-in-loop
		const records = await response.body.json() as RunRecord[];
		const {service} = host.plan;
		runs.set(service, [...(runs.get(service) ?? []), ...records]);
	}

	return runs;
}

/** Counts the non-idempotent runs after the first one with the same idempotency key. */
export function countDuplicateRuns(runs: readonly RunRecord[]): number {
	const seenKeys = new Set<string>();
	let duplicates = 0;
	for (const {method, key} of runs) {
		if (method === 'POST') {
			duplicates += seenKeys.has(key) ? 1 : 0;
			seenKeys.add(key);
		}
	}

	return duplicates;
}

/** Counts the submissions that ran although their caller was told that they were not run. */
export function countRunsReportedNotRun(runs: readonly RunRecord[], callers: CallerStandIn): number {
	return runs.filter(({id, method}) => method === 'POST' && callers.notRunIds.has(id)).length;
}
