import {type EventLog} from '../../log/index.js';
import {type AdmissionQueue} from '../../mesh/index.js';
import {type RefusalReason} from '../call.js';
import {type OwnedCall} from './ownedcall.js';

/** Records that an owner refuses a call, and for how long it was held before. */
export function logRefusal(log: EventLog, {call, waitedMs}: OwnedCall, reason: RefusalReason, {queue, floor, nowMs}: {
	readonly queue: AdmissionQueue<OwnedCall>;
	readonly floor: number;
	readonly nowMs: number;
}): void {
	const heldMs = waitedMs(nowMs);
	log.registry.observe('held_before_refusal', {reason}, heldMs);
	log.event('owner_refused', {
		attempt: call.attemptId,
		route: call.template.route,
		reason,
		instance: call.instance,
		running: queue.running,
		queued: queue.queued,
		limit: queue.limit,
		queuedBytes: queue.queuedBytes,
		ratePerS: Number.isFinite(queue.ratePerS) ? queue.ratePerS : 'none',
		level: call.priority.level,
		floor,
		waitedMs: Math.round(heldMs),
		leftMs: Math.round(call.leftMs),
		objectiveLeftMs: call.objectiveLeftMs ?? 'none',
	});
}
