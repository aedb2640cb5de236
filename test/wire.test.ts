import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {describe, expect, it} from 'vitest';
import {type Frame, DaemonCore} from '../src/core/index.js';
import {
	FrameError, Handshake, HandshakeError, decodeFrame, encodeFrame, filterForwardableHeaders,
} from '../src/wire/index.js';
import {buildHttpAnswer} from '../src/daemon/answer.js';
import {ContextTokens} from '../src/daemon/contexttokens.js';

const SEED = 7;
const FUZZ_RUNS = 3000;

const answer: Frame = {
	type: 'answer', id: 3, answer: {outcome: 'complete', payload: {status: 200, headers: ['a', 'b'], body: Buffer.from('x')}}, tokens: 1, load: {outstanding: 1, limit: 2}, pressure: [],
};

describe('frames', () => {
	it('come back as they were sent', () => {
		expect(decodeFrame(encodeFrame(answer))).toMatchObject({type: 'answer', id: 3, tokens: 1});
	});

	it.each([
		[{type: 'answer', id: 3}, 'answer.answer: not valid'],
		[{type: 'shout'}, 'type: no such frame'],
		[7, 'frame: not an object'],
		[{...answer, tokens: -1}, 'answer.tokens: not valid'],
		[{type: 'constructor'}, 'type: no such frame'],
	])('are refused with the field at fault: %j', (value, reason) => {
		expect(() => decodeFrame(new Packr({useRecords: false}).pack(value))).toThrow(new FrameError(reason));
	});

	it('refuse any bytes without harm', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			try {
				decodeFrame(bytes);
			} catch (error) {
				expect(error).toBeInstanceOf(FrameError);
			}
		}), {seed: SEED, numRuns: FUZZ_RUNS});
	});

	it('of any shape that passes the check leave the core running', () => {
		const packr = new Packr({useRecords: false});
		const node = new DaemonCore({
			id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1,
		}, 0);
		const member = fc.record({
			id: fc.string(),
			address: fc.string(),
			region: fc.string(),
			failureDomain: fc.string(),
			incarnation: fc.nat(),
			status: fc.constantFrom('alive', 'dead', 'suspect', 'left'),
			service: fc.option(fc.string(), {nil: undefined}),
			slots: fc.nat(),
			connections: fc.nat(),
		});
		const frame = fc.oneof(
			fc.record({type: fc.constant('cancel'), id: fc.nat()}),
			fc.record({type: fc.constant('gossip'), members: fc.array(member), config: fc.array(fc.record({name: fc.string(), generation: fc.nat(), operationId: fc.string()}))}),
			fc.record({
				type: fc.constant('sync'), reply: fc.boolean(), members: fc.array(fc.tuple(fc.string(), fc.nat())), config: fc.array(fc.tuple(fc.string(), fc.nat())),
			}),
			fc.record({
				type: fc.constant('fence'), id: fc.nat(), key: fc.string(), ballot: fc.record({attempt: fc.nat(), tie: fc.string()}), madeAfterMs: fc.integer(), keepMs: fc.nat(),
			}),
			fc.record({
				type: fc.constant('vouch'), id: fc.nat(), vouch: fc.record({verdict: fc.constantFrom('fenced', 'running', 'done')}), upstreams: fc.array(member),
			}),
		);
		let nowMs = 1;
		fc.assert(fc.property(frame, fc.constantFrom('in', 'out'), (value, side) => {
			node.step({
				type: 'frame', peer: 'p', side: side as 'in', frame: decodeFrame(packr.pack(value)),
			}, nowMs++);
		}), {seed: SEED, numRuns: FUZZ_RUNS});
		expect(node.status().self.id).toBe('a');
	});
});

describe('the handshake', () => {
	function shake(dialerKey: string, listenerKey: string): {dialer: Handshake; listener: Handshake} {
		const dialer = new Handshake(dialerKey, 'dialer', 'd');
		const listener = new Handshake(listenerKey, 'listener', 'l');
		const fromDialer = dialer.handleMessage(listener.buildHello())!;
		const fromListener = listener.handleMessage(dialer.buildHello())!;
		dialer.handleMessage(fromListener);
		listener.handleMessage(fromDialer);
		return {dialer, listener};
	}

	it('proves both ends to each other', () => {
		const {dialer, listener} = shake('secret', 'secret');
		expect(dialer.peerId).toBe('l');
		expect(listener.peerId).toBe('d');
	});

	it('refuses another site\'s key', () => {
		expect(() => shake('secret', 'other')).toThrow(HandshakeError);
	});

	it('refuses its own proof sent back', () => {
		const listener = new Handshake('secret', 'listener', 'l');
		const proof = listener.handleMessage(listener.buildHello())!;
		expect(() => listener.handleMessage(proof)).toThrow(HandshakeError);
	});
});

describe('http', () => {
	it('drops connection headers and the daemons\' own', () => {
		expect(filterForwardableHeaders(['Connection', 'x', 'Accept', 'y', 'Comfreydyke-Context', 'z'])).toEqual(['accept', 'y']);
	});

	it('turns a refusal into a problem document with a time to come back', () => {
		const {status, headers, body} = buildHttpAnswer({outcome: 'not-run', reason: 'pressure', retryAfterMs: 1500});
		expect(status).toBe(503);
		expect(headers).toContain('application/problem+json');
		expect(headers[headers.indexOf('retry-after') + 1]).toBe('2');
		expect(JSON.parse(Buffer.from(body).toString())).toMatchObject({outcome: 'not-run', reason: 'pressure', retryAfterMs: 1500});
	});

	it('knows only the contexts of its own process', () => {
		const contexts = new ContextTokens();
		expect(contexts.decode(contexts.encode(7))).toBe(7);
		expect(contexts.decode(new ContextTokens().encode(7))).toBe(-1);
		expect(contexts.decode('nonsense')).toBe(-1);
	});
});
