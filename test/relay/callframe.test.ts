import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {type Call} from '../../src/relay/call.js';
import {
	TemplateReader, TemplateWriter, buildCallFrame, decodeFrame, encodeFrame, readCallFrame,
} from '../../src/relay/peers/frame.js';

const createCall = (more: Partial<Call> = {}): Call => ({
	template: {
		route: 'r', rank: 0, repeatability: 'safe', method: 'GET', callerService: 's', headers: [],
	},
	attemptId: 'a', path: '/', instance: 'i', leftMs: 2000, objectiveLeftMs: undefined, priority: {level: 1, floor: 0}, isNested: false, body: Buffer.alloc(0), isRepeat: false, rateLimitPerS: undefined, hasMoreBody: false, ...more,
});
const encode = (call: Call) => encodeFrame(buildCallFrame(1, call, new TemplateWriter()));
const read = (frame: ReturnType<typeof decodeFrame>) => readCallFrame(frame, new TemplateReader(), Buffer.alloc(0));
const roundTrip = (objectiveLeftMs: number | undefined) => read(decodeFrame(encode(createCall({objectiveLeftMs})))).objectiveLeftMs;

describe('the time left to the objective in a call frame', () => {
	it('arrives in steps of 10 ms, never longer than it is', () => {
		expect([undefined, -5, 0, 9, 300, 1503.7, 4000].map(leftMs => roundTrip(leftMs))).toEqual([undefined, 0, 0, 0, 300, 1500, 4000]);
	});

	it('takes one byte up to 1270 ms, the same as if it is unknown', () => {
		expect([0, 1270, 1280].map(objectiveLeftMs => encode(createCall({objectiveLeftMs})).length - encode(createCall()).length)).toEqual([0, 0, 1]);
	});

	it('is unknown in a frame of an older daemon, and refused if it isn\'t a whole number', () => {
		const frame = decodeFrame(encode(createCall({objectiveLeftMs: 300, organisation: 'o'})));
		expect(read(frame).organisation).toBe('o');
		expect(read(frame.slice(0, 13) as unknown as typeof frame).objectiveLeftMs).toBe(undefined);
		for (const bad of [-1, 0.5, Number.NaN, '3', true, []]) {
			expect(() => read(frame.with(13, bad) as unknown as typeof frame)).toThrow('objective');
		}
	});
});
