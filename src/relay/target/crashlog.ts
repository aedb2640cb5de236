import {type EventLog} from '../../log/index.js';
import {type CrashSign, type LostRun} from './crashdetector.js';

/** The most requests that the line of a crash names; the ones that began last come first. */
const MAX_NAMED = 32;

/** Records a crash of the target, with the load it had and the fingerprints of the requests that it was running. */
export function logCrash(log: EventLog, lost: readonly LostRun[], load: {readonly sign: CrashSign; readonly running: number; readonly queued: number; readonly limit: number}): void {
	const [{owned: {call: {instance}}}] = lost;
	log.registry.count('target_crashes', {sign: load.sign});
	log.warn('target_crashed', {
		instance, inFlight: lost.length, ...load, requests: lost.slice(0, MAX_NAMED).map(({owned: {fingerprint}}) => fingerprint).join(','),
	});
	for (const {owned: {call, fingerprint}, ranMs} of lost) {
		log.event('run_crashed', {
			attempt: call.attemptId, fingerprint, route: call.template.route, instance, ranMs: Math.round(ranMs), nested: call.isNested,
		});
	}
}
