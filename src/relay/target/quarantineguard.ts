import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	AnsweredCalls, type Quarantine, type QuarantineNews, Trials, judgeCrash, startOf,
} from '../../core/index.js';
import {type AdmissionQueue, type PublishedTarget, type TargetLifecycle} from '../../mesh/index.js';
import {type Call, type RefusalReason} from '../call.js';
import {fingerprintOf} from '../fingerprint.js';
import {type Address} from '../settings.js';
import {
	CrashDetector, type CrashSign, type LostRun, type LossReason,
} from './crashdetector.js';
import {logCrash} from './crashlog.js';
import {type OwnedCall} from './ownedcall.js';

/** The most of a path that is kept for operators, in characters. */
const MAX_PATH_LENGTH = 120;
/** The largest body of a call that is remembered as answered, in bytes. */
const MAX_ANSWERED_BODY_BYTES = 1024;
/** Crashes are numbered at random below this. */
const MAX_CRASH_ID = 2 ** 48;

/** What the guard needs besides what only the owner of the target knows. */
export type QuarantineParts = {
	readonly quarantine: Quarantine;
	/** The address of the target. */
	readonly target: Address;
	/** The targets that serve the service. */
	readonly listTargets: (service: string) => readonly PublishedTarget[];
	/** Returns the id of the attempt that a nested call belongs to. */
	readonly parentOf: (attemptId: string) => string | undefined;
	/** Called with what the other daemons should hear. */
	readonly onNews: (news: QuarantineNews) => void;
	readonly random: () => number;
};

export type QuarantineGuardOptions = QuarantineParts & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly queue: AdmissionQueue<OwnedCall>;
	/** Whether a run that began before this time is still in flight. */
	readonly hasRunsFrom: (beforeMs: number) => boolean;
	/** Begins to run a call that holds a slot. @returns false if it doesn't: the call is refused then, and the slot is free again */
	readonly start: (owned: OwnedCall) => boolean;
	/** Decides on a call that is no suspect any longer, as if it had just arrived. */
	readonly admit: (owned: OwnedCall) => void;
	readonly refuse: (owned: OwnedCall, reason: RefusalReason) => void;
};

/** Guards the target beside this daemon from requests that crash it: notices crashes, tries suspects alone, and tells the others what that shows. */
export class QuarantineGuard {
	readonly trials: Trials<OwnedCall>;
	readonly #options: QuarantineGuardOptions;
	readonly #crashDetector: CrashDetector;
	readonly #answered = new AnsweredCalls<Call>(fingerprintOf);

	constructor(options: QuarantineGuardOptions) {
		this.#options = options;
		this.trials = new Trials({
			...options,
			isLastTarget: () => this.#isLastTarget(),
			onBegun({fingerprint, call: {attemptId, template: {route}, instance}}) {
				options.log.event('trial_begun', {
					attempt: attemptId, fingerprint, route, instance, running: options.queue.running,
				});
			},
		});
		this.#crashDetector = new CrashDetector({
			...options,
			onCrash: (lost, sign) => {
				this.#onCrash(lost, sign);
			},
		});
	}

	/** Records that the connection of a run broke. @param settle called with whether the target crashed */
	onRunLost(owned: OwnedCall, settle: (reason: LossReason) => void): void {
		this.#crashDetector.onRunLost(owned, this.#options.clock.nowMs(), settle);
	}

	/** Records that this daemon closed the connection of a run, as nobody waits for it any longer. */
	onRunAborted(owned: OwnedCall, nowMs: number): void {
		this.#crashDetector.onRunAborted(owned, nowMs);
		this.trials.onRunAborted(owned, nowMs);
	}

	/** Records that the target has answered a run. */
	onServed(owned: OwnedCall, nowMs: number): void {
		this.#crashDetector.onServed(nowMs);
		const {quarantine, log, onNews} = this.#options;
		if (quarantine.isEnabled && owned.call.body.length <= MAX_ANSWERED_BODY_BYTES) {
			this.#answered.record(owned.call);
		}

		if (quarantine.isIdle) {
			return;
		}

		const {fingerprint, startedMs, call: {attemptId, instance}} = owned;
		const {survival, hold} = quarantine.concludeServed(fingerprint, startedMs, nowMs);
		if (survival !== undefined || hold !== undefined) {
			onNews({crashes: [], survivals: survival === undefined ? [] : [survival], holds: hold === undefined ? [] : [hold]});
		}

		if (hold !== undefined) {
			log.event('request_cleared', {fingerprint, attempt: attemptId, instance});
		}
	}

	/** Records that the target refused a connection. */
	onRefused(): void {
		this.#crashDetector.onRefused(this.#options.clock.nowMs());
	}

	/** Records that another start of the target has announced itself. */
	onRestarted(): void {
		this.#crashDetector.onRestarted(this.#options.clock.nowMs());
		this.#answered.reset();
	}

	#onCrash(lost: readonly LostRun[], sign: CrashSign): void {
		const {
			clock, log, lifecycle, queue, quarantine, listTargets, onNews, random, parentOf,
		} = this.#options;
		const {running, queued, limit} = queue;
		logCrash(log, lost, {
			sign, running, queued, limit,
		});
		const target = lifecycle.current;
		// A target that leaves may end with runs in flight, and none of them is why.
		if (!quarantine.isEnabled || target === undefined || lifecycle.isDraining) {
			return;
		}

		const nowMs = clock.nowMs();
		const answered = this.#answered.fingerprints();
		this.#answered.reset();
		const {service} = target;
		const {report, hold, suspect} = judgeCrash(quarantine, {
			id: Math.floor(random() * MAX_CRASH_ID), service, start: startOf(target), lost: lost.map(run => describeLost(run)), answered, targets: listTargets(service).length, parentOf,
		}, nowMs);
		onNews({crashes: [report], survivals: [], holds: hold === undefined ? [] : [hold]});
		if (suspect !== undefined) {
			log.event('suspect_crashed', {
				fingerprint: suspect.request, attempt: suspect.subject.attemptId, others: suspect.others, ranMs: Math.round(suspect.ranMs), chance: report.chance.toFixed(5),
			});
		}

		if (hold !== undefined) {
			const {request, strikes, leftMs, subject} = hold;
			log.registry.count('requests_held', {service});
			log.warn('request_held', {
				fingerprint: request, strikes, forMs: leftMs, service, ...subject,
			});
		}
	}

	#isLastTarget(): boolean {
		const {lifecycle: {current}, quarantine, listTargets} = this.#options;
		const others = current === undefined ? [] : listTargets(current.service).filter(({id}) => id !== current.id);
		return others.length > 0 && others.every(target => quarantine.hasCrashed(target));
	}
}

function describeLost({owned: {fingerprint, call: {template: {route, method, callerService}, path, attemptId}}, ranMs}: LostRun) {
	return {
		request: fingerprint, attemptId, ranMs, subject: {
			route, method, path: path.slice(0, MAX_PATH_LENGTH), caller: callerService, attemptId,
		},
	};
}
