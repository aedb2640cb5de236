import {describe, expect, it} from 'vitest';
import {SystemClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {type CrashReport, type Hold, Quarantine} from '../../src/core/index.js';
import {
	type Frame, FrameChannel, FrameTag, decodeFrame, encodeFrame,
} from '../../src/relay/peers/frame.js';
import {QuarantineExchange} from '../../src/relay/peers/quarantineexchange.js';
import {buildQuarantineFrame, readQuarantine} from '../../src/relay/peers/quarantineframe.js';
import {FrameError} from '../../src/wire/index.js';

const HOLD_MS = 30_000;
const fingerprintOf = (index: number) => index.toString(16).padStart(16, '0');
const DEADLY = fingerprintOf(0xDE_AD);
const HOLD: Hold = {
	request: DEADLY, generation: 1, isHeld: true, strikes: 1, leftMs: HOLD_MS, subject: {
		route: 'x', method: 'GET', path: '/x/deadly', caller: 'front', attemptId: 'a1',
	},
};
const crashOf = (id: number, requests: string[]): CrashReport => ({
	id, service: 'back', start: `i-${id}@1`, ageMs: 0, requests, suspect: undefined, chance: 1,
});

/** A daemon's part of the exchange; frames to its neighbors are encoded and decoded like on a link. */
class Daemon extends FrameChannel {
	readonly quarantine = new Quarantine(HOLD_MS);
	readonly neighbors = new Set<Daemon>();
	readonly exchange: QuarantineExchange;
	received = 0;
	readonly #clock = new SystemClock();

	constructor() {
		super();
		this.exchange = new QuarantineExchange({
			clock: this.#clock,
			log: new EventLog(new Logger('test', 'info', () => undefined), this.#clock),
			quarantine: this.quarantine,
			flood: (frame, except) => {
				for (const neighbor of this.neighbors) {
					if (neighbor !== except) {
						neighbor.receive(frame, this);
					}
				}
			},
		});
	}

	override send(): void {
		throw new Error('nothing is answered');
	}

	receive(frame: Frame, from: Daemon): void {
		this.received++;
		this.exchange.handleFrame(decodeFrame(encodeFrame(frame)), from);
	}

	/** Opens a link: both sides tell what they know. */
	link(other: Daemon): void {
		this.neighbors.add(other);
		other.neighbors.add(this);
		for (const [from, to] of [[this, other], [other, this]] as const) {
			const frame = from.exchange.buildStateFrame();
			if (frame !== undefined) {
				to.receive(frame, from);
			}
		}
	}

	verdict(request = DEADLY): string {
		return this.quarantine.verdictOf(request, this.#clock.nowMs());
	}

	tell(crashes: CrashReport[], holds: Hold[] = []): void {
		const news = {crashes, survivals: [], holds};
		this.quarantine.record(news, this.#clock.nowMs());
		this.exchange.tell(news);
	}
}

describe('daemons that tell each other of requests that crash targets', () => {
	it('pass on what is new once, and nothing that they know', () => {
		const daemons = Array.from({length: 3}, () => new Daemon());
		const [first, second, third] = daemons;
		first.link(second);
		second.link(third);
		third.link(first);
		first.tell([crashOf(1, [DEADLY])], [HOLD]);
		expect(daemons.map(daemon => daemon.verdict())).toEqual(['refuse', 'refuse', 'refuse']);
		expect(daemons.reduce((sum, {received}) => sum + received, 0)).toBeLessThanOrEqual(4);
	});

	it('hear all that they missed when a link that was cut is back', () => {
		const [near, cut, beyond] = [new Daemon(), new Daemon(), new Daemon()];
		cut.link(beyond);
		near.tell([crashOf(1, [DEADLY, fingerprintOf(1)]), crashOf(2, [DEADLY, fingerprintOf(1)])]);
		expect(beyond.verdict()).toBe('pass');
		cut.link(near);
		expect([cut, beyond].map(daemon => daemon.verdict())).toEqual(['trial', 'trial']);
		near.neighbors.clear();
		near.tell([], [HOLD]);
		expect(cut.verdict()).toBe('trial');
		cut.link(near);
		expect([cut, beyond].map(daemon => daemon.verdict())).toEqual(['refuse', 'refuse']);
	});

	it('need some 300 bytes for a crash with 30 requests', () => {
		const requests = Array.from({length: 30}, (_, index) => fingerprintOf(index));
		expect(encodeFrame(buildQuarantineFrame({crashes: [crashOf(1, requests)], survivals: [], holds: []})).length).toBeLessThan(330);
	});

	it('read what they wrote', () => {
		const news = {crashes: [{...crashOf(7, [DEADLY, fingerprintOf(3)]), suspect: DEADLY, chance: 0.25}], survivals: [{request: DEADLY, crashes: [1, 2 ** 47]}], holds: [HOLD]};
		expect(readQuarantine(decodeFrame(encodeFrame(buildQuarantineFrame(news))))).toEqual(news);
	});

	it.each<[string, unknown[]]>([
		['no lists', [1, 2, 3]],
		['a crash without a service', [[[1, 2, 's', 0, new Uint8Array(8), null, 0]], [], []]],
		['half a fingerprint', [[[1, 'back', 's', 0, new Uint8Array(4), null, 0]], [], []]],
		['a negative age', [[[1, 'back', 's', -1, new Uint8Array(8), null, 0]], [], []]],
		['a survival of two requests', [[], [[new Uint8Array(16), [1]]], []]],
		['a hold without a subject', [[], [], [[new Uint8Array(8), 1, true, 1, 5, []]]]],
		['a hold of no generation', [[], [], [[new Uint8Array(8), Number.NaN, true, 1, 5, ['', '', '', '', '']]]]],
	])('close a link on which %s come', (_name, fields) => {
		expect(() => readQuarantine(decodeFrame(encodeFrame([FrameTag.quarantine, ...fields])))).toThrow(FrameError);
	});
});
