import {type Frame, type LoadReport} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type FloorReport} from './floortable.js';

const HEARTBEAT_MS = 1000;
/** Silence after which a link counts as dead, in ms. */
const SILENCE_MS = 2500;
const CONNECT_TIMEOUT_MS = 1000;
const REDIAL_MS = 500;
/** A link that is no neighbor's and carried no call for this long is closed, in ms. */
const IDLE_MS = 60_000;

type Link = {
	state: 'connecting' | 'up' | 'down';
	address: string;
	waiting: Frame[];
	heardMs: number;
	sentMs: number;
	/** When an answer was last asked for by a heartbeat, in ms. */
	askedMs: number;
	usedMs: number;
	/** When the state began, in ms. */
	sinceMs: number;
};

/** Whether a frame went out, waits for the link, or can't be sent now. */
export type SendResult = 'sent' | 'waiting' | 'refused';

/** What a heartbeat carries. */
export type Heartbeat = {
	readonly members: number;
	readonly config: number;
	readonly load: LoadReport;
	readonly pressure: readonly FloorReport[];
};

/**
 * The links that this daemon has opened to peers. A link that has been silent
 * for too long is dropped, so no call goes to a peer that stopped answering.
 */
export class Links {
	readonly #kernel: CoreContext;
	readonly #links = new Map<string, Link>();
	#tickMs = 0;

	constructor(kernel: CoreContext) {
		this.#kernel = kernel;
	}

	/** Whether a frame to the peer could be sent or queued now. */
	canSend(peer: string): boolean {
		const link = this.#links.get(peer);
		return link?.state !== 'down' || this.#kernel.nowMs - link.sinceMs >= REDIAL_MS;
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

		link.usedMs = this.#kernel.nowMs;
		if (link.state === 'connecting') {
			link.waiting.push(frame);
			return 'waiting';
		}

		this.#emit(peer, link, frame);
		return 'sent';
	}

	/** Takes back a call that still waits for the link. */
	removeWaitingCall(peer: string, callId: number): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.waiting = link.waiting.filter(frame => frame.type !== 'call' || frame.id !== callId);
		}
	}

	/** Sends only if the link is up. */
	sendIfUp(peer: string, frame: Frame): boolean {
		const link = this.#links.get(peer);
		if (link?.state !== 'up') {
			return false;
		}

		this.#emit(peer, link, frame);
		return true;
	}

	/** Opens the link if need be; undefined while it may not be dialled yet. */
	open(peer: string, address: string): Link | undefined {
		const {nowMs} = this.#kernel;
		const held = this.#links.get(peer);
		if (held !== undefined && held.state !== 'down') {
			return held;
		}

		if (held !== undefined && nowMs - held.sinceMs < REDIAL_MS) {
			return undefined;
		}

		const link: Link = {
			state: 'connecting', address, waiting: [], heardMs: nowMs, sentMs: nowMs, askedMs: nowMs, usedMs: nowMs, sinceMs: nowMs,
		};
		this.#links.set(peer, link);
		this.#kernel.emit({type: 'connect', peer, address});
		return link;
	}

	onFrameReceived(peer: string): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.heardMs = this.#kernel.nowMs;
		}
	}

	/** Sends what waited for the link. */
	onUp(peer: string): void {
		const link = this.#links.get(peer);
		if (link?.state !== 'connecting') {
			return;
		}

		link.state = 'up';
		link.sinceMs = this.#kernel.nowMs;
		link.heardMs = this.#kernel.nowMs;
		for (const frame of link.waiting.splice(0)) {
			this.#emit(peer, link, frame);
		}
	}

	/** Forgets what waited; its owners are told by the caller of this. */
	onDown(peer: string): void {
		const link = this.#links.get(peer);
		if (link !== undefined) {
			link.state = 'down';
			link.sinceMs = this.#kernel.nowMs;
			link.waiting = [];
		}
	}

	/**
	 * Keeps quiet links alive, closes idle ones and gives up dead ones.
	 * @returns the peers whose links were given up just now
	 */
	tick(heartbeat: (peer: string) => Heartbeat, isKept: (peer: string) => boolean): string[] {
		const {nowMs} = this.#kernel;
		this.#forgivePause(nowMs);
		const lost: string[] = [];
		for (const [peer, link] of this.#links) {
			if (link.state === 'down') {
				if (nowMs - link.sinceMs > IDLE_MS) {
					this.#links.delete(peer);
				}
			} else if (this.#isDead(link, nowMs)) {
				this.#hangUp(peer);
				lost.push(peer);
			} else if (this.#isIdle(peer, link, isKept)) {
				// The peer is well; it is only that nothing is sent to it.
				this.#hangUp(peer);
				this.#links.delete(peer);
			} else if (link.state === 'up' && this.#isHeartbeatDue(link, nowMs)) {
				link.askedMs = nowMs;
				this.#emit(peer, link, {type: 'heartbeat', answered: false, ...heartbeat(peer)});
			}
		}

		return lost;
	}

	#hangUp(peer: string): void {
		this.#kernel.emit({type: 'disconnect', peer});
		this.onDown(peer);
	}

	// Silence during a pause of this process says nothing about the peers.
	#forgivePause(nowMs: number): void {
		if (nowMs - this.#tickMs > HEARTBEAT_MS) {
			for (const link of this.#links.values()) {
				link.heardMs = nowMs;
			}
		}

		this.#tickMs = nowMs;
	}

	#isDead(link: Link, nowMs: number): boolean {
		return link.state === 'connecting'
			? nowMs - link.sinceMs > CONNECT_TIMEOUT_MS
			: nowMs - link.heardMs > SILENCE_MS;
	}

	// Calls and gossip may be sent all the time and answered late or never, so a
	// peer that isn't heard is asked whatever was sent to it.
	#isHeartbeatDue(link: Link, nowMs: number): boolean {
		return nowMs - link.sentMs >= HEARTBEAT_MS || nowMs - Math.max(link.heardMs, link.askedMs) >= HEARTBEAT_MS;
	}

	#isIdle(peer: string, link: Link, isKept: (peer: string) => boolean): boolean {
		return this.#kernel.nowMs - link.usedMs > IDLE_MS && !isKept(peer);
	}

	#emit(peer: string, link: Link, frame: Frame): void {
		link.sentMs = this.#kernel.nowMs;
		this.#kernel.emit({
			type: 'frame', peer, side: 'out', frame,
		});
	}
}
