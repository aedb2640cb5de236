import {type Frame, type LinkSide} from '../src/core/index.js';
import {type Random} from './random.js';
import {type Scheduler} from './scheduler.js';

/** The time after which a connection attempt to a host that is cut off fails, in ms. */
const CONNECT_TIMEOUT_MS = 1000;

/** The probability of each fault, per frame. */
export type NetworkFaults = {
	drop: number;
	duplicate: number;
	/** Delivers a frame later than the ones behind it. */
	reorder: number;
	/** Closes the connection when a frame is sent; the frame is lost. */
	reset: number;
};

/** A host that links can connect. */
export type Endpoint = {
	readonly isUp: () => boolean;
	readonly onFrame: (peer: string, side: LinkSide, frame: Frame) => void;
	readonly onLink: (peer: string, side: LinkSide, up: boolean) => void;
};

type Connection = {
	readonly from: string;
	readonly to: string;
	open: boolean;
	/** When the last frame in each direction arrives, in virtual ms; later frames don't arrive before it. */
	arrivesMs: {forth: number; back: number};
	/** Deliveries that a cut holds back; they take place when the cut heals, if the connection is still open. */
	held: Array<() => void>;
};

/** A network in virtual time with delays and configurable faults. */
export class Network {
	readonly faults: NetworkFaults = {
		drop: 0, duplicate: 0, reorder: 0, reset: 0,
	};

	/** The number of injected faults by kind. */
	readonly faultCounts: Record<string, number> = {};
	frames = 0;
	/** Receives each frame that is sent, for measurements. */
	onSend: ((from: string, frame: Frame) => void) | undefined;
	/** Receives each call that is sent, even on a connection that no longer exists. */
	onCall: ((from: string, to: string, payload: unknown) => void) | undefined;
	/** Replaces each frame before it is sent, for example to falsify load reports. */
	rewriteFrame: ((from: string, frame: Frame) => Frame) | undefined;
	readonly #scheduler: Scheduler;
	readonly #random: Random;
	readonly #delayMs: (from: string, to: string) => number;
	readonly #endpoints = new Map<string, Endpoint>();
	readonly #connections = new Map<string, Connection>();
	/** The cuts between two hosts; several may overlap. */
	readonly #cuts = new Set<{readonly a: string; readonly b: string}>();

	constructor(scheduler: Scheduler, random: Random, delayMs: (from: string, to: string) => number) {
		this.#scheduler = scheduler;
		this.#random = random;
		this.#delayMs = delayMs;
	}

	add(id: string, endpoint: Endpoint): void {
		this.#endpoints.set(id, endpoint);
	}

	connect(from: string, to: string): void {
		this.close(from, to);
		const connection: Connection = {
			from, to, open: true, arrivesMs: {forth: 0, back: 0}, held: [],
		};
		this.#connections.set(linkOf(from, to), connection);
		const delayMs = this.#delay(from, to);
		if (this.#isCut(from, to)) {
			this.#scheduler.schedule(CONNECT_TIMEOUT_MS, () => {
				this.#end(connection);
			});
			return;
		}

		this.#scheduler.schedule(2 * delayMs, () => {
			const endpoint = this.#endpoints.get(to);
			if (!connection.open) {
				return;
			}

			if (endpoint?.isUp() !== true) {
				this.#end(connection);
				return;
			}

			endpoint.onLink(from, 'in', true);
			this.#scheduler.schedule(delayMs, () => {
				if (connection.open) {
					this.#endpoints.get(from)?.onLink(to, 'out', true);
				}
			});
		});
	}

	/** Closes a connection from the end that opened it. */
	close(from: string, to: string): void {
		const connection = this.#connections.get(linkOf(from, to));
		if (connection !== undefined) {
			connection.open = false;
			this.#connections.delete(linkOf(from, to));
			this.#scheduler.schedule(this.#delay(from, to), () => {
				this.#endpoints.get(to)?.onLink(from, 'in', false);
			});
		}
	}

	send(from: string, to: string, side: LinkSide, original: Frame): void {
		const frame = this.rewriteFrame?.(from, original) ?? original;
		if (frame.type === 'call') {
			this.onCall?.(from, to, frame.call.payload);
		}

		const connection = this.#connections.get(side === 'out' ? linkOf(from, to) : linkOf(to, from));
		if (connection === undefined) {
			return;
		}

		this.frames++;
		this.onSend?.(from, frame);

		const direction = side === 'out' ? 'forth' : 'back';
		if (this.#injects('drop')) {
			return;
		}

		if (this.#injects('reset')) {
			this.#end(connection);
			return;
		}

		const copies = this.#injects('duplicate') ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			this.#deliver(connection, direction, frame);
		}
	}

	/** Partitions two hosts from each other; their connections stay open. @returns a function that heals this cut, and no other */
	cut(a: string, b: string): () => void {
		const cut = {a, b};
		this.#cuts.add(cut);
		return () => {
			this.#cuts.delete(cut);
			this.#deliverHeld();
		};
	}

	healCuts(): void {
		this.#cuts.clear();
		this.#deliverHeld();
	}

	/** Resets all connections of a host whose process has ended. */
	drop(id: string): void {
		for (const connection of this.#connections.values()) {
			if (connection.from === id || connection.to === id) {
				this.#end(connection);
			}
		}
	}

	#deliverHeld(): void {
		for (const connection of this.#connections.values()) {
			if (!this.#isCut(connection.from, connection.to)) {
				for (const deliver of connection.held.splice(0)) {
					deliver();
				}
			}
		}
	}

	#deliver(connection: Connection, direction: 'forth' | 'back', frame: Frame): void {
		const {from, to} = connection;
		const delayMs = this.#delay(from, to);
		const inOrderMs = Math.max(this.#scheduler.nowMs + delayMs, connection.arrivesMs[direction]);
		const isLate = this.#injects('reorder');
		const atMs = isLate ? inOrderMs + this.#random.between(1, 50) : inOrderMs;
		if (!isLate) {
			connection.arrivesMs[direction] = atMs;
		}

		const arrive = () => {
			if (!connection.open) {
				return;
			}

			if (direction === 'forth') {
				this.#endpoints.get(to)?.onFrame(from, 'in', frame);
			} else {
				this.#endpoints.get(from)?.onFrame(to, 'out', frame);
			}
		};

		if (this.#isCut(from, to)) {
			connection.held.push(arrive);
		} else {
			this.#scheduler.schedule(atMs - this.#scheduler.nowMs, arrive);
		}
	}

	#end(connection: Connection): void {
		if (!connection.open) {
			return;
		}

		const {from, to} = connection;
		connection.open = false;
		if (this.#connections.get(linkOf(from, to)) === connection) {
			this.#connections.delete(linkOf(from, to));
		}

		this.#scheduler.schedule(this.#delay(from, to), () => {
			this.#endpoints.get(from)?.onLink(to, 'out', false);
			this.#endpoints.get(to)?.onLink(from, 'in', false);
		});
	}

	#injects(fault: keyof NetworkFaults): boolean {
		const probability = this.faults[fault];
		if (probability === 0 || !this.#random.chance(probability)) {
			return false;
		}

		this.faultCounts[fault] = (this.faultCounts[fault] ?? 0) + 1;
		return true;
	}

	#isCut(a: string, b: string): boolean {
		return [...this.#cuts].some(cut => (cut.a === a && cut.b === b) || (cut.a === b && cut.b === a));
	}

	#delay(from: string, to: string): number {
		return this.#delayMs(from, to) * this.#random.between(0.9, 1.2);
	}
}

function linkOf(from: string, to: string): string {
	return `${from}>${to}`;
}
