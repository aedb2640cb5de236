import {describe, expect, it} from 'vitest';
import {NO_SIGNALS} from '../../src/mesh/index.js';
import {packSignals, readSignals} from '../../src/relay/frame.js';
import {readTargetSignals} from '../../src/relay/targetsignals.js';
import {DecodeError} from '../../src/relay/index.js';
import {pack, unpack} from '../../src/wire/index.js';
import {meshHeaders} from '../../standins/meshadapter.js';

const read = (limit?: string | string[], leaving?: string) => readTargetSignals({[meshHeaders.rateLimit]: limit, [meshHeaders.leaving]: leaving}, meshHeaders);

describe('the signals in the headers of an answer', () => {
	it('are the rate limit as a decimal number and whether the target leaves', () => {
		expect(read('22.2')).toEqual({rateLimitPerS: 22.2, isLeaving: false});
		expect(read('0', '1')).toEqual({rateLimitPerS: 0, isLeaving: true});
		expect(read(undefined, '0')).toEqual({rateLimitPerS: undefined, isLeaving: false});
	});

	it('are rejected with the name of the field when the limit is no decimal number', () => {
		for (const limit of ['', '-1', '1e9', 'Infinity', 'NaN', '5 a second', ['5', '6']]) {
			expect(() => read(limit)).toThrow(DecodeError);
		}

		expect(() => read('many')).toThrow(/target-rate-limit: expected .*"many"/v);
	});
});

describe('the signals of an answer that came over a link', () => {
	it('are the ones that were sent, and a target that needs nothing names no limit', () => {
		for (const signals of [undefined, NO_SIGNALS, {rateLimitPerS: undefined, isLeaving: true}, {rateLimitPerS: 0, isLeaving: false}]) {
			expect(readSignals(unpack(pack(packSignals(signals))))).toEqual(signals);
		}
	});
});
