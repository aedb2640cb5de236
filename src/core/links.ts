import {type Frame, type LoadReport} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type FloorReport} from './floortable.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** Silence after which a link is considered dead, in ms. */
const SILENCE_TIMEOUT_MS = 2500;
const CONNECT_TIMEOUT_MS = 1000;
const REDIAL_DELAY_MS = 500;
/** Time without use after which a link that leads to no neighbor is closed, in ms. */
const IDLE_TIMEOUT_MS = 60_000;

type Link = {
	state: 'connecting' | 'up' | 'down';
	address: string;
	waitingFrames: Frame[];
	lastReceivedMs: number;
	lastSentMs: number;
	/** When a heartbeat last asked for an answer, in ms. */
	lastHeartbeatMs: number;
	lastUsedMs: number;
	/** When the link entered its state, in ms. */
	stateSinceMs: number;
};

/** Whether a frame was sent, waits for the link to open, or can't be sent now. */
export type SendResult = 'sent' | 'waiting' | 'refused';

/** The content of a heartbeat: digests of members and configuration, load and floors. */
export type Heartbeat = {
	readonly members: number;
	readonly config: number;
	readonly load: LoadReport;
	readonly pressure: readonly FloorReport[];
};

/**
 * The links that this daemon has opened to peers. A link that stays silent for
 * too long is closed, so that no call goes to a peer that stopped answering.
 */
export class Links {
	readonly #coreContext: CoreContext;
	readonly #links = new Map<string, Link>();
	#lastTickMs = 0;

	constructor(coreContext: CoreContext) {
		this.#coreContext = coreContext;
	}

	/** Whether a frame to the peer can be sent or queued now. */
	canSend(peer: string): boolean {
		const link = this.#links.get(peer);
		return link?.state !== 'down' || this.#coreContext.nowMs - link.stateSinceMs >= REDIAL_DELAY_MS;
	}

	isUp(peer: string): boolean {
		return this.#links.get(peer)?.state === 'up';
	}

	connectedPeers(): string[] {
		return [...this.#links].filter(([, link]) => link.state === 'up').map(([peer]) => peer);
	}

	send(peer: string, address: string, frame: Frame): SendResult {
		const link = this.open(peer, address);
		if (link === undefined) {
			return 'refused';
		}

		link.lastUsedMs = this.#coreContext.nowMs;
		if (link.state === 'connecting') {
			link.waitingFrames.push(frame);
			return 'waiting';
		}

		this.#sendFrame(peer, link, frame);
		return 'sent';
	}

	/** Removes a call that still waits for the link to open. */
	removeWaitingCall(peer: string, callId: number): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.waitingFrames = link.waitingFrames.filter(frame => frame.type !== 'call' || frame.id !== callId);
		}
	}

	/** Sends a frame only if the link is up. */
	sendIfUp(peer: string, frame: Frame): boolean {
		const link = this.#links.get(peer);
		if (link?.state !== 'up') {
			return false;
		}

		this.#sendFrame(peer, link, frame);
		return true;
	}

	/** Returns the link and opens it if necessary; returns undefined while the redial delay lasts. */
	open(peer: string, address: string): Link | undefined {
		const {nowMs} = this.#coreContext;
		const current = this.#links.get(peer);
		if (current !== undefined && current.state !== 'down') {
			return current;
		}

		if (current !== undefined && nowMs - current.stateSinceMs < REDIAL_DELAY_MS) {
			return undefined;
		}

		const link: Link = {
			state: 'connecting', address, waitingFrames: [], lastReceivedMs: nowMs, lastSentMs: nowMs, lastHeartbeatMs: nowMs, lastUsedMs: nowMs, stateSinceMs: nowMs,
		};
		this.#links.set(peer, link);
		this.#coreContext.emit({type: 'connect', peer, address});
		return link;
	}

	onFrameReceived(peer: string): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.lastReceivedMs = this.#coreContext.nowMs;
		}
	}

	/** Sends the frames that waited for the link. */
	onUp(peer: string): void {
		const link = this.#links.get(peer);
		if (link?.state !== 'connecting') {
			return;
		}

		link.state = 'up';
		link.stateSinceMs = this.#coreContext.nowMs;
		link.lastReceivedMs = this.#coreContext.nowMs;
		for (const frame of link.waitingFrames.splice(0)) {
			this.#sendFrame(peer, link, frame);
		}
	}

	/** Drops the frames that waited; the caller must notify their senders. */
	onDown(peer: string): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.state = 'down';
			link.stateSinceMs = this.#coreContext.nowMs;
			link.waitingFrames = [];
		}
	}

	/**
	 * Sends due heartbeats and closes idle and dead links.
	 * @returns the peers whose links were found dead
	 */
	tick(buildHeartbeat: (peer: string) => Heartbeat, isKept: (peer: string) => boolean): string[] {
		const {nowMs} = this.#coreContext;
		this.#restartSilenceAfterPause(nowMs);
		const lost: string[] = [];
		for (const [peer, link] of this.#links) {
			if (link.state === 'down') {
				if (nowMs - link.stateSinceMs > IDLE_TIMEOUT_MS) {
					this.#links.delete(peer);
				}
			} else if (this.#isDead(link, nowMs)) {
				this.#disconnect(peer);
				lost.push(peer);
			} else if (this.#isIdle(peer, link, isKept)) {
				// The peer is reachable, so it isn't reported as lost.
				this.#disconnect(peer);
				this.#links.delete(peer);
			} else if (link.state === 'up' && this.#isHeartbeatDue(link, nowMs)) {
				link.lastHeartbeatMs = nowMs;
				this.#sendFrame(peer, link, {type: 'heartbeat', answered: false, ...buildHeartbeat(peer)});
			}
		}

		return lost;
	}

	#disconnect(peer: string): void {
		this.#coreContext.emit({type: 'disconnect', peer});
		this.onDown(peer);
	}

	// Silence during a pause of this process doesn't show that a peer has failed.
	#restartSilenceAfterPause(nowMs: number): void {
		if (nowMs - this.#lastTickMs > HEARTBEAT_INTERVAL_MS) {
			for (const link of this.#links.values()) {
				link.lastReceivedMs = nowMs;
			}
		}

		this.#lastTickMs = nowMs;
	}

	#isDead(link: Link, nowMs: number): boolean {
		return link.state === 'connecting'
			? nowMs - link.stateSinceMs > CONNECT_TIMEOUT_MS
			: nowMs - link.lastReceivedMs > SILENCE_TIMEOUT_MS;
	}

	// Calls and gossip may be sent continuously and answered late or never, so a
	// silent peer gets a heartbeat even if other frames were sent to it.
	#isHeartbeatDue(link: Link, nowMs: number): boolean {
		return nowMs - link.lastSentMs >= HEARTBEAT_INTERVAL_MS || nowMs - Math.max(link.lastReceivedMs, link.lastHeartbeatMs) >= HEARTBEAT_INTERVAL_MS;
	}

	#isIdle(peer: string, link: Link, isKept: (peer: string) => boolean): boolean {
		return this.#coreContext.nowMs - link.lastUsedMs > IDLE_TIMEOUT_MS && !isKept(peer);
	}

	#sendFrame(peer: string, link: Link, frame: Frame): void {
		link.lastSentMs = this.#coreContext.nowMs;
		this.#coreContext.emit({
			type: 'frame', peer, side: 'out', frame,
		});
	}
}
