import {type Socket, connect} from 'node:net';
import {type Address} from '../settings.js';
import {type OwnedCall} from './ownedcall.js';

/** How soon the target is looked for after a run was lost, in ms: a crash breaks all connections within it. */
const CHECK_DELAY_MS = 2;
/** How long the target may take to accept a connection, in ms; it is on the same host. */
const CONNECT_TIMEOUT_MS = 300;
/** How long lost runs wait for a sign that the target has crashed, in ms: longer than a target takes to start again. */
const PENDING_MS = 15_000;
/** How long after the loss answers may still arrive that a crashed target had sent, in ms. */
const LATE_ANSWERS_MS = 50;
/** How long a run counts as in flight after it was aborted, in ms: what it began may go on. */
const ABORTED_MEMORY_MS = 500;
/** The most runs of one crash that are remembered; in more, the ones that began last count. */
const MAX_LOST = 256;

/** What showed that the target has crashed: it refused a connection, or announced another start. */
export type CrashSign = 'refused' | 'restarted';

/** Whether the target closed the connection of a run, or crashed. */
export type LossReason = 'broken' | 'crashed';

/** A run that was lost, with how long it had lasted in ms. */
export type LostRun = {readonly owned: OwnedCall; readonly ranMs: number};

export type CrashDetectorOptions = {
	readonly target: Address;
	/** Whether a run that began before this time is still in flight. */
	readonly hasRunsFrom: (beforeMs: number) => boolean;
	readonly onCrash: (lost: readonly LostRun[], sign: CrashSign) => void;
};

/**
 * Tells a crash of the target from a connection that it closed: all runs in flight are lost, those just aborted among them,
 * and then it refuses connections or comes back as another start.
 */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	#lost: LostRun[] = [];
	#aborted: Array<LostRun & {readonly atMs: number}> = [];
	readonly #unsettled: Array<(reason: LossReason) => void> = [];
	#lostMs = 0;
	#isCheckDue = false;
	#socket: Socket | undefined;

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Records that the connection of a run broke before its answer was whole.
	 * @param settle called within moments with whether the target has crashed, as far as is known by then
	 */
	onRunLost(owned: OwnedCall, nowMs: number, settle: (reason: LossReason) => void): void {
		if (nowMs - this.#lostMs > PENDING_MS) {
			this.#lost = [];
		}

		if (this.#lost.length === 0) {
			this.#lostMs = nowMs;
		}

		this.#lost.push({owned, ranMs: nowMs - owned.startedMs});
		this.#unsettled.push(settle);
		this.#scheduleCheck();
	}

	/** Records that this daemon closed the connection of a run, as nobody waits for it any longer. */
	onRunAborted(owned: OwnedCall, nowMs: number): void {
		this.#aborted = [...this.#aborted.filter(({atMs}) => nowMs - atMs <= ABORTED_MEMORY_MS), {owned, ranMs: nowMs - owned.startedMs, atMs: nowMs}].slice(-MAX_LOST);
	}

	/** Records that the target has answered a run, so it hasn't crashed. */
	onServed(nowMs: number): void {
		if (this.#lost.length > 0 && nowMs - this.#lostMs > LATE_ANSWERS_MS) {
			this.#lost = [];
		}
	}

	/** Records that the target refused a connection. */
	onRefused(nowMs: number): void {
		this.#confirm('refused', nowMs);
	}

	/** Records that another start of the target has announced itself. */
	onRestarted(nowMs: number): void {
		if (nowMs - this.#lostMs <= PENDING_MS) {
			this.#confirm('restarted', nowMs);
		}
	}

	#scheduleCheck(): void {
		if (this.#isCheckDue) {
			return;
		}

		this.#isCheckDue = true;
		setTimeout(() => {
			this.#isCheckDue = false;
			if (this.#lost.length > 0 && !this.#options.hasRunsFrom(this.#lostMs)) {
				this.#connect();
			} else {
				this.#settle('broken');
			}
		}, CHECK_DELAY_MS);
	}

	#connect(): void {
		const {ip, port} = this.#options.target;
		this.#socket?.destroy();
		const socket = connect({host: ip, port, timeout: CONNECT_TIMEOUT_MS});
		this.#socket = socket;
		for (const event of ['connect', 'timeout'] as const) {
			socket.on(event, () => {
				socket.destroy();
			});
		}

		socket.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNREFUSED') {
				this.onRefused(this.#lostMs);
			}
		});
		socket.on('close', () => {
			this.#settle('broken');
		});
	}

	#settle(reason: LossReason): void {
		for (const settle of this.#unsettled.splice(0)) {
			settle(reason);
		}
	}

	#confirm(sign: CrashSign, nowMs: number): void {
		const crashedMs = this.#lost.length > 0 ? this.#lostMs : nowMs;
		const aborted = this.#aborted.filter(({atMs}) => crashedMs - atMs <= ABORTED_MEMORY_MS);
		const lost = [...this.#lost, ...aborted].toSorted((a, b) => a.ranMs - b.ranMs).slice(0, MAX_LOST);
		this.#lost = [];
		this.#aborted = [];
		if (lost.length > 0) {
			this.#options.onCrash(lost, sign);
			this.#settle('crashed');
		}
	}
}
