import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {DecodeError} from '../../src/relay/index.js';
import {
	type Frame, TemplateReader, decodeFrame, readCallFrame, readFloorReports, readLoadReport, readNews, readOffers, readSignals, readSlowness, readVersions,
} from '../../src/relay/peers/frame.js';
import {readAllowances, readUsage} from '../../src/relay/peers/shareframe.js';
import {decodeHostEntry} from '../../src/relay/store/hostentry.js';
import {FrameError, pack} from '../../src/wire/index.js';

/** The seed and the number of inputs of each decoder; more with FUZZ_FRAMES by hand. */
const SEED = 7;
const RUNS = Number(process.env.FUZZ_FRAMES ?? 500);
const EMPTY = Buffer.alloc(0);

const scalar = fc.oneof(fc.constantFrom<unknown>(null, undefined, true, 0, 1, -1, 1.5, Number.NaN, Number.POSITIVE_INFINITY, 2 ** 53, 2 ** 60, 1e21, -1e308, '127.0.0.1:83000', 'x'.repeat(1000), '', 'back', '__proto__', {}, [], EMPTY), fc.string(), fc.double());
const field = fc.letrec<{value: unknown}>(tie => ({
	value: fc.oneof({maxDepth: 4}, scalar, fc.array(tie('value'), {maxLength: 8}), fc.dictionary(fc.constantFrom('host', 'target', 'address', 'failureDomain', 'id', 'slots', 'state', 'service', 'a'), tie('value'))),
})).value;
const frame = fc.tuple(fc.nat(30), fc.array(field, {maxLength: 14})).map(([tag, fields]) => [tag, ...fields] as unknown as Frame);

const DECODERS: Record<string, (value: Frame) => unknown> = {
	frame: value => decodeFrame(pack(value)),
	call: value => readCallFrame(value, new TemplateReader(), EMPTY),
	floors: readFloorReports,
	load: value => readLoadReport(value[1]),
	signals: value => readSignals(value[1]),
	news: readNews,
	offers: readOffers,
	versions: readVersions,
	slowness: readSlowness,
	usage: readUsage,
	allowances: readAllowances,
	'host entry': value => decodeHostEntry(value[1]),
};

const areRevisions = (pairs: Iterable<[unknown, unknown]>) => [...pairs].every(([host, revision]) => typeof host === 'string' && typeof revision === 'number');
/** What some decoders let through. */
const CHECKS: Record<string, (decoded: unknown) => boolean> = {
	load: decoded => Object.values(decoded ?? {}).every(value => typeof value === 'number'),
	offers: decoded => areRevisions(decoded as Array<[unknown, unknown]>),
	versions: decoded => areRevisions((decoded as {revisions: Map<unknown, unknown>}).revisions),
};

it.each(Object.keys(DECODERS))('the decoder of a %s refuses what is malformed by field and reason, and throws nothing else', name => {
	fc.assert(fc.property(frame, value => {
		try {
			const decoded = DECODERS[name](value);
			expect(CHECKS[name]?.(decoded) ?? true).toBe(true);
		} catch (error) {
			expect(error instanceof FrameError || error instanceof DecodeError, `${(error as Error).name}: ${(error as Error).message}`).toBe(true);
			expect((error as Error).message).toMatch(/^[^:]+: \S/v);
		}
	}), {seed: SEED, numRuns: RUNS, endOnFailure: true});
});
