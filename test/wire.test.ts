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
import {HttpIdentity} from '../src/daemon/httpidentity.js';

const SEED = 7;
const FUZZ_RUNS = 3000;

const answer: Frame = {
	type: 'answer', id: 3, answer: {outcome: 'complete', payload: {status: 200, headers: ['a', 'b'], body: Buffer.from('x')}}, tokens: 1, load: {outstanding: 1, limit: 2}, pressure: [],
};

describe('frame codec', () => {
	it('decodes a frame to what was encoded', () => {
		expect(decodeFrame(encodeFrame(answer))).toMatchObject({type: 'answer', id: 3, tokens: 1});
	});

	it.each([
		[{type: 'answer', id: 3}, 'answer.answer: missing, wrong type or out of range'],
		[{type: 'shout'}, 'type: unknown frame type'],
		[7, 'frame: must be an object'],
		[{...answer, tokens: -1}, 'answer.tokens: missing, wrong type or out of range'],
		[{type: 'constructor'}, 'type: unknown frame type'],
	])('rejects an invalid frame and names the field: %j', (value, reason) => {
		expect(() => decodeFrame(new Packr({useRecords: false}).pack(value))).toThrow(new FrameError(reason));
	});

	it('rejects arbitrary bytes with a FrameError and nothing else', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			try {
				decodeFrame(bytes);
			} catch (error) {
				expect(error).toBeInstanceOf(FrameError);
			}
		}), {seed: SEED, numRuns: FUZZ_RUNS});
	});

	it('lets no frame through that makes the core throw', () => {
		const packr = new Packr({useRecords: false});
		const core = new DaemonCore({
			id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1, quarantine: {firstHoldMs: 1000, identity: new HttpIdentity()},
		}, 0);
		const request = fc.constantFrom('f1', 'f2');
		const text = fc.string();
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
				type: fc.constant('quarantine'),
				crashes: fc.array(fc.record({
					id: fc.nat(), service: text, start: text, ageMs: fc.nat(), requests: fc.array(request), suspect: fc.option(request), chance: fc.double({min: 0, max: 1, noNaN: true}),
				})),
				survivals: fc.array(fc.record({request, crashes: fc.array(fc.nat())})),
				holds: fc.array(fc.record({
					request, generation: fc.nat(), isHeld: fc.boolean(), strikes: fc.nat(), leftMs: fc.nat(), subject: fc.record({
						route: text, method: text, path: text, caller: text, attemptId: text,
					}),
				})),
			}),
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
			core.step({
				type: 'frame', peer: 'p', side: side as 'in', frame: decodeFrame(packr.pack(value)),
			}, nowMs++);
		}), {seed: SEED, numRuns: FUZZ_RUNS});
		expect(core.status().self.id).toBe('a');
	});
});

describe('handshake', () => {
	function runHandshake(dialerKey: string, listenerKey: string): {dialer: Handshake; listener: Handshake} {
		const dialer = new Handshake(dialerKey, 'dialer', 'd');
		const listener = new Handshake(listenerKey, 'listener', 'l');
		const fromDialer = dialer.handleMessage(listener.buildHello())!;
		const fromListener = listener.handleMessage(dialer.buildHello())!;
		dialer.handleMessage(fromListener);
		listener.handleMessage(fromDialer);
		return {dialer, listener};
	}

	it('tells each end the id of the other when both hold the site key', () => {
		const {dialer, listener} = runHandshake('secret', 'secret');
		expect(dialer.peerId).toBe('l');
		expect(listener.peerId).toBe('d');
	});

	it('rejects a peer with another site key', () => {
		expect(() => runHandshake('secret', 'other')).toThrow(HandshakeError);
	});

	it('rejects its own proof reflected by a peer without the site key', () => {
		const listener = new Handshake('secret', 'listener', 'l');
		const proof = listener.handleMessage(listener.buildHello())!;
		expect(() => listener.handleMessage(proof)).toThrow(HandshakeError);
	});
});

describe('HTTP conversion', () => {
	it('does not forward hop-by-hop headers or the daemons\' own', () => {
		expect(filterForwardableHeaders(['Connection', 'x', 'Accept', 'y', 'Comfreydyke-Context', 'z'])).toEqual(['accept', 'y']);
	});

	it('answers a refusal with a problem document and a retry delay', () => {
		const {status, headers, body} = buildHttpAnswer({outcome: 'not-run', reason: 'pressure', retryAfterMs: 1500});
		expect(status).toBe(503);
		expect(headers).toContain('application/problem+json');
		expect(headers[headers.indexOf('retry-after') + 1]).toBe('2');
		expect(JSON.parse(Buffer.from(body).toString())).toMatchObject({outcome: 'not-run', reason: 'pressure', retryAfterMs: 1500});
	});

	it('rejects context tokens of another process', () => {
		const contextTokens = new ContextTokens();
		expect(contextTokens.decode(contextTokens.encode(7))).toBe(7);
		expect(contextTokens.decode(new ContextTokens().encode(7))).toBe(-1);
		expect(contextTokens.decode('nonsense')).toBe(-1);
	});
});
