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

// Guards against a daemon that runs out of memory as each user's requests have a header of their own (LOST).
describe('templates with a header that differs from request to request', () => {
	const COOKIE_LENGTH = 12_000;
	const templateOf = (user: number) => ({cookie: String(user).padStart(COOKIE_LENGTH, 'x')});

	it('are kept neither by their sender nor by their receiver once others have come', () => {
		const writer = new TemplateWriter();
		const reader = new TemplateReader<{readonly cookie: string}>();
		const write = (user: number) => writer.write(templateOf(user).cookie, templateOf(user));
		const sent = Array.from({length: 40}, (_none, user) => write(user));
		for (const [user, [number, value]] of sent.entries()) {
			expect(reader.read(number, value)).toEqual(templateOf(user));
		}

		expect(Math.max(...sent.map(([number]) => number))).toBeLessThan(4);
		expect(write(0)[1]).toEqual(templateOf(0));
	});

	it('leave none behind at the receiver that has another number', () => {
		const reader = new TemplateReader<string>();
		for (const [number, value] of [[0, 'a'], [1, 'b'], [0, 'c']] as const) {
			expect(reader.read(number, value)).toBe(value);
		}

		expect(reader.read(0, null)).toBe('c');
		expect(() => reader.read(1, null)).toThrow('template 1');
	});

	it('of a usual length are sent by number again and again', () => {
		const writer = new TemplateWriter();
		const keys = Array.from({length: 60}, (_none, index) => `${index}`.padStart(500, 'x'));
		const [first, second] = [0, 1].map(() => keys.map(key => writer.write(key, key)[1]));
		expect(first).toEqual(keys);
		expect(second).toEqual(keys.map(() => null));
	});
});
