import {type Answer, REFUSED_RETRY_AFTER_MS, createRefusal} from './answer.js';
import {type CoreContext} from './corecontext.js';
import {type Call} from './frame.js';
import {LossDetector, type LostRun} from './lossdetector.js';
import {type Membership} from './membership.js';
import {type TargetResult} from './message.js';
import {
	AnsweredCalls, CRASH_MEMORY_MS, type Quarantine, type QuarantineNews, type TrialQueue, type TrialRefusal, Trials, judgeCrash,
} from './quarantine/index.js';
import {type ReceivedCall, expiryReasonOf} from './receivedcall.js';
import {RecentCount} from './recentcount.js';
import {type RequestIdentity} from './requestidentity.js';

/** The largest payload of a call that is remembered as answered, in bytes. */
const MAX_ANSWERED_BYTES = 1024;
/** The most of a path that is kept for operators, in characters. */
const MAX_PATH_LENGTH = 120;
/** Crashes are numbered at random below this. */
const MAX_CRASH_ID = 2 ** 32;

/** What a guard needs of its daemon. */
export type QuarantineParts = {
	readonly quarantine: Quarantine;
	readonly identity: RequestIdentity;
	/** Names the target beside this daemon. */
	readonly target: string;
	readonly membership: Membership;
	/** Called with what the other daemons should hear. */
	readonly onNews: (news: QuarantineNews) => void;
};

export type TargetGuardOptions = QuarantineParts & {
	readonly coreContext: CoreContext;
	readonly queue: TrialQueue;
	readonly service: () => string | undefined;
	/** Whether a run that began until then is still in flight. */
	readonly hasRunsFrom: (untilMs: number) => boolean;
	readonly start: (received: ReceivedCall) => void;
	readonly admit: (received: ReceivedCall) => void;
	readonly finish: (received: ReceivedCall, answer: Answer) => void;
};

/** Guards the target beside this daemon from requests that crash it: notices crashes, tries suspects alone, and tells the others what that shows. */
export class TargetGuard {
	readonly trials: Trials<ReceivedCall>;
	readonly #options: TargetGuardOptions;
	readonly #lossDetector = new LossDetector();
	readonly #answered: AnsweredCalls<Call>;
	readonly #servedRuns = new RecentCount(CRASH_MEMORY_MS);

	constructor(options: TargetGuardOptions) {
		this.#options = options;
		this.#answered = new AnsweredCalls(call => options.identity.fingerprintOf(call));
		this.trials = new Trials({
			...options,
			start(received) {
				options.start(received);
				return true;
			},
			refuse: (received, reason) => {
				options.finish(received, this.#createRefusal(received, reason));
			},
			isLastTarget: () => this.#isLastTarget(),
			onBegun({fingerprint, call: {operation}}) {
				options.coreContext.log('trial_begun', {fingerprint, operation, running: options.queue.running});
			},
		});
	}

	fingerprintOf(call: Call): string {
		return this.#options.identity.fingerprintOf(call);
	}

	/** Concludes from how a run ended, once it isn't in flight any longer. */
	onRunEnded(received: ReceivedCall, result: TargetResult): void {
		const {nowMs} = this.#options.coreContext;
		if (result.kind === 'broken' && received.cancelReason !== undefined) {
			this.#lossDetector.onAborted(received, nowMs);
			this.trials.onRunAborted(received, nowMs);
		} else {
			this.trials.onRunEnded(received, nowMs);
		}

		if (result.kind === 'whole') {
			this.#onServed(received, nowMs);
		} else if (result.kind === 'broken' && result.isLost === true && received.cancelReason === undefined) {
			this.#lossDetector.onLost(received, nowMs);
		}

		this.check();
	}

	/** Concludes from the runs that were lost, once all in flight are. */
	check(): void {
		const {nowMs} = this.#options.coreContext;
		const lost = this.#lossDetector.takeCrash(this.#options.hasRunsFrom, nowMs);
		const service = this.#options.service();
		if (lost.length > 0 && service !== undefined) {
			this.#onCrash(lost, service, nowMs);
		}
	}

	// Whether all other targets of the service are gone at present.
	#isLastTarget(): boolean {
		const {membership, service: serviceOf} = this.#options;
		const service = serviceOf() ?? '';
		return membership.upstreamsEverServing(service).length > 1 && membership.servingUpstreams(service).length <= 1;
	}

	#createRefusal(received: ReceivedCall, reason: TrialRefusal): Answer {
		if (reason === 'quarantined') {
			return createRefusal(reason, this.#options.quarantine.leftMs(received.fingerprint, this.#options.coreContext.nowMs));
		}

		return reason === 'full' ? createRefusal('overload', REFUSED_RETRY_AFTER_MS, true) : createRefusal(expiryReasonOf(received), REFUSED_RETRY_AFTER_MS);
	}

	#onServed(received: ReceivedCall, nowMs: number): void {
		const {quarantine, identity, onNews, coreContext} = this.#options;
		this.#lossDetector.onServed(nowMs);
		this.#servedRuns.add(nowMs);
		if (identity.sizeOf(received.call) <= MAX_ANSWERED_BYTES) {
			this.#answered.record(received.call);
		}

		if (quarantine.isIdle) {
			return;
		}

		const {survival, hold} = quarantine.concludeServed(received.fingerprint, received.startedMs, nowMs);
		if (survival !== undefined || hold !== undefined) {
			onNews({crashes: [], survivals: survival === undefined ? [] : [survival], holds: hold === undefined ? [] : [hold]});
		}

		if (hold !== undefined) {
			coreContext.log('request_cleared', {fingerprint: hold.request});
		}
	}

	#onCrash(lost: readonly LostRun[], service: string, nowMs: number): void {
		const {
			coreContext, quarantine, target, membership, onNews,
		} = this.#options;
		const answered = this.#answered.fingerprints();
		this.#answered.reset();
		const {report, hold, suspect} = judgeCrash(quarantine, {
			id: Math.floor(coreContext.random() * MAX_CRASH_ID),
			service,
			start: target,
			lost: lost.map(run => this.#describe(run)),
			answered,
			servedRuns: this.#servedRuns.total(nowMs),
			targets: membership.servingUpstreams(service).length,
			parentOf: attemptId => findParent(lost, attemptId),
		}, nowMs);
		coreContext.counters.add('target_crashes', service);
		coreContext.log('target_crashed', {
			service, inFlight: lost.length, suspect: suspect?.request ?? '', chance: report.chance,
		});
		onNews({crashes: [report], survivals: [], holds: hold === undefined ? [] : [hold]});
		if (hold !== undefined) {
			const {request, strikes, leftMs, subject: {route, method, path}} = hold;
			coreContext.counters.add('requests_held', service);
			coreContext.log('request_held', {
				fingerprint: request, strikes, forMs: leftMs, service, operation: route, method, path,
			});
		}
	}

	#describe({received: {id, fingerprint, call}, ranMs}: LostRun) {
		const {method, path} = this.#options.identity.describe(call);
		return {
			request: fingerprint, attemptId: String(id), ranMs, subject: {
				route: call.operation, method, path: path.slice(0, MAX_PATH_LENGTH), caller: '', attemptId: call.key ?? call.root,
			},
		};
	}
}

// Calls of one root request: the earlier one that has made a call waits for the later one.
function findParent(lost: readonly LostRun[], attemptId: string): string | undefined {
	const child = lost.find(({received: {id}}) => String(id) === attemptId)?.received;
	const parent = lost.find(({received}) => received.call.root === child?.call.root && received.hasMadeChildCall && received.startedMs < child.startedMs);
	return parent === undefined ? undefined : String(parent.received.id);
}
