import {type Buffer} from 'node:buffer';
import {type FloorReport} from '../../core/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type HostRecord, type LoadReport, NO_SIGNALS, type TargetSignals,
} from '../../mesh/index.js';
import {FrameError, pack, unpack} from '../../wire/index.js';
import {type Call, type CallTemplate} from '../call.js';
import {decodeHostEntry, isHostName} from '../store/hostentry.js';

/** The frame types: the number in the first element of a frame. The comments list the fields that follow it. */
export const FrameTag = {
	/** Version of the sender's configuration, host of the sender. */
	hello: 0,
	/** The fields in `buildCallFrame`. */
	call: 1,
	/** Call id, template number, template, signature, length in bytes, body, whether it is whole, load report. */
	answer: 2,
	/** Call id, reason, load report. */
	refused: 3,
	/** Call id, reason, load report. */
	failed: 4,
	/** Call id, bytes, whether they are the last. */
	chunk: 5,
	/** Call id, number of bytes that the sender of this frame can accept in addition. */
	credit: 6,
	/** Call id. */
	cancel: 7,
	/** Version, configuration, ms since the store confirmed it (null if it hasn't), its revision in the store. */
	site: 8,
	/** Host whose daemon is stopping and soon refuses new calls. */
	leaving: 9,
	/** No fields; asks for a `site` frame. */
	siteRequest: 10,
	/** List of floor reports. */
	floors: 11,
	/** Whether the link is part of the mesh from now on; if absent, it is. */
	subscribe: 12,
	/** Version of the configuration, ms since the store confirmed it (null if it hasn't), digest of the hosts' versions, epoch of the store (null if unknown). */
	news: 13,
	/** Versions of entries, each as host, revision and entry (null if it was deleted). */
	records: 14,
	/** Revisions of entries, each as host and revision; whether the receiver should send its own. */
	versions: 15,
	/** Slow targets, each as host, by what factor it is slower than usual, and when its daemon measured that in ms since 1970. */
	slowness: 16,
	/** New revisions of entries, each as host and revision. */
	offers: 17,
	/** Hosts; asks for a `records` frame with their entries. */
	recordRequest: 18,
	/** Host of the sender, hash of the accountants that it knows, usages. */
	usage: 19,
	/** Host of the accountant, whether it is ready, whether it replies to a report, allowances. */
	allowances: 20,
	/** Crashes, survivals, holds: the fields in `buildQuarantineFrame`. */
	quarantine: 21,
} as const;

/** Limits the templates remembered for a link; when it is reached, the writer forgets all and numbers them from 0 again. */
const MAX_TEMPLATES = 1000;
/** The length of their keys from which on no more are kept, in characters: a large fleet has hundreds of links. */
const MAX_TEMPLATES_LENGTH = 32_768;

/** A frame as it is encoded in msgpack: a tag, then the fields in a fixed order. */
export type Frame = readonly [tag: number, ...fields: unknown[]];

/** A link, seen from either side, as far as frames outside calls are concerned. */
export abstract class FrameChannel {
	abstract send(frame: Frame): void;
}

export function encodeFrame(frame: Frame): Buffer {
	return pack(frame);
}

/** @throws {FrameError} when the bytes are no frame; the receiver then closes the link */
export function decodeFrame(bytes: Buffer): Frame {
	const value = unpack(bytes);
	if (!Array.isArray(value) || typeof value[0] !== 'number') {
		throw new FrameError('frame: expected an array that begins with a numeric tag');
	}

	return value as unknown as Frame;
}

/**
 * Assigns a number to each distinct value, so that a repeated value is sent whole once and by its number afterwards. The numbers start anew
 * when there are too many values, or too large ones: those with a header of each user's own may never come again.
 */
export class TemplateWriter {
	readonly #numbersByKey = new Map<string, number>();
	#keyLength = 0;

	/** @returns the number, and the value, or null if the other side already has it */
	write(key: string, value: unknown): readonly [number, unknown] {
		let number = this.#numbersByKey.get(key);
		if (number !== undefined) {
			return [number, null];
		}

		if (this.#numbersByKey.size >= MAX_TEMPLATES || this.#keyLength >= MAX_TEMPLATES_LENGTH) {
			this.#numbersByKey.clear();
			this.#keyLength = 0;
		}

		number = this.#numbersByKey.size;
		this.#numbersByKey.set(key, number);
		this.#keyLength += key.length;
		return [number, value];
	}
}

/** Resolves the numbers that a `TemplateWriter` on the other side of the link assigned. */
export class TemplateReader<T> {
	readonly #valuesByNumber = new Map<number, T>();

	/** @throws {FrameError} for a number whose value was never received, or not since the numbers started anew */
	read(number: unknown, value: unknown): T {
		if (value !== null && value !== undefined) {
			if (number === 0) {
				this.#valuesByNumber.clear();
			}

			this.#valuesByNumber.set(number as number, value as T);
			return value as T;
		}

		const known = this.#valuesByNumber.get(number as number);
		if (known === undefined) {
			throw new FrameError(`template ${String(number)}: expected its value earlier on this link`);
		}

		return known;
	}
}

// Bits of the flags field of a call frame.
const NESTED_FLAG = 1;
const MORE_BODY_FLAG = 2;
const REPEAT_FLAG = 4;
/** Unit of the time left to the objective, in ms; a call with up to 1270 ms left says so in one byte. */
const OBJECTIVE_UNIT_MS = 10;

/** Encodes a call; its template is included if the other side doesn't have it yet. */
export function buildCallFrame(id: number, call: Call, templates: TemplateWriter): Frame {
	const {template} = call;
	const key = `${template.route}\n${template.rank}\n${template.repeatability}\n${template.method}\n${template.callerService}\n${template.headers.join('\n')}`;
	const flags = (call.isNested ? NESTED_FLAG : 0) | (call.hasMoreBody ? MORE_BODY_FLAG : 0) | (call.isRepeat ? REPEAT_FLAG : 0);
	const [number, value] = templates.write(key, template);
	const body = call.body.length > 0 ? call.body : null;
	const {level, floor} = call.priority;
	const objective = packObjective(call.objectiveLeftMs);
	const frame = [FrameTag.call, id, number, value, call.instance, Math.round(call.leftMs), flags, call.attemptId, call.path, body, level, floor, call.rateLimitPerS ?? null, objective] as const;
	return call.organisation === undefined ? frame : [...frame, call.organisation];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readCallFrame(frame: Frame, templates: TemplateReader<CallTemplate>, empty: Buffer): Call {
	const [number, value, instance, leftMs, flags, attemptId, path, body, level, floor, rateLimitPerS, objective, organisation] = frame.slice(2);
	const areNumbers = [leftMs, flags, level, floor, rateLimitPerS ?? 0].every(field => typeof field === 'number');
	if (!areNumbers || typeof instance !== 'string' || typeof path !== 'string' || typeof attemptId !== 'string') {
		throw new FrameError('call: expected strings for instance, path and attempt id, and numbers for remaining time, flags, level, floor and rate limit');
	}

	if (organisation !== undefined && typeof organisation !== 'string') {
		throw new FrameError('call: expected a string for the organisation');
	}

	return {
		template: templates.read(number, value),
		instance,
		leftMs: leftMs as number,
		isNested: ((flags as number) & NESTED_FLAG) !== 0,
		hasMoreBody: ((flags as number) & MORE_BODY_FLAG) !== 0,
		isRepeat: ((flags as number) & REPEAT_FLAG) !== 0,
		attemptId,
		path,
		body: (body as Buffer | null) ?? empty,
		priority: {level: level as number, floor: floor as number},
		rateLimitPerS: (rateLimitPerS as number | null) ?? undefined,
		objectiveLeftMs: readObjective(objective),
		...(organisation === undefined ? {} : {organisation}),
	};
}

function packObjective(leftMs: number | undefined): number | null {
	return leftMs === undefined ? null : Math.max(0, Math.floor(leftMs / OBJECTIVE_UNIT_MS));
}

/** @throws {FrameError} when it is there, but no whole number of units */
function readObjective(packed: unknown): number | undefined {
	if (packed === undefined || packed === null) {
		return undefined;
	}

	if (!Number.isSafeInteger(packed) || (packed as number) < 0) {
		throw new FrameError('call: expected the time left to the objective as a whole number of units');
	}

	return (packed as number) * OBJECTIVE_UNIT_MS;
}

/** Encodes the floors that a daemon knows, each as a list of service, upstream, floor, age in ms and, if it tells something, the answered share in percent. */
export function buildFloorReportFrame(reports: readonly FloorReport[]): Frame {
	return [FrameTag.floors, reports.map(({service, upstream, floor, ageMs, answeredShare}) => {
		const report = [service, upstream, Math.round(floor), Math.round(ageMs)];
		return answeredShare === undefined ? report : [...report, Math.round(answeredShare * 100)];
	})];
}

/** @throws {FrameError} when the list of reports is missing or a field has the wrong type */
export function readFloorReports([, packed]: Frame): FloorReport[] {
	return readItems('floors', packed).map(([service, upstream, floor, ageMs, answeredPercent]) => {
		const numbers = answeredPercent === undefined ? [floor, ageMs] : [floor, ageMs, answeredPercent];
		const areNumbers = numbers.every(field => typeof field === 'number' && field >= 0);
		if (typeof service !== 'string' || typeof upstream !== 'string' || !areNumbers || (answeredPercent as number) > 100) {
			throw new FrameError('floors: expected service, upstream, floor, age and at most a share in percent');
		}

		const report = {
			service, upstream, floor: floor as number, ageMs: ageMs as number,
		};
		return answeredPercent === undefined ? report : {...report, answeredShare: (answeredPercent as number) / 100};
	});
}

/** Encodes a load report as numbers: running, queued, limit, service time in ms, and the share of failed runs in percent unless that is 0. */
export function packLoadReport(report: LoadReport | undefined): readonly number[] | null {
	if (report === undefined) {
		return null;
	}

	const {running, queued, limit, serviceMs, failureShare = 0} = report;
	const failedPercent = Math.round(failureShare * 100);
	return failedPercent === 0 ? [running, queued, limit, Math.round(serviceMs)] : [running, queued, limit, Math.round(serviceMs), failedPercent];
}

/** @throws {FrameError} when a field has the wrong type */
export function readLoadReport(packed: unknown): LoadReport | undefined {
	if (!Array.isArray(packed)) {
		return undefined;
	}

	const [running, queued, limit, serviceMs, failedPercent = 0] = packed as number[];
	if (![running, queued, limit, serviceMs, failedPercent].every(field => typeof field === 'number')) {
		throw new FrameError('load: expected four or five numbers');
	}

	return {
		running, queued, limit, serviceMs, failureShare: failedPercent / 100,
	};
}

/** Encodes what a target said of itself: null if the answer doesn't tell, an empty list for `NO_SIGNALS`, else its rate limit and whether it leaves. */
export function packSignals(signals: TargetSignals | undefined): ReadonlyArray<number | boolean | null> | null {
	if (signals === undefined) {
		return null;
	}

	const {rateLimitPerS, isLeaving} = signals;
	return rateLimitPerS === undefined && !isLeaving ? [] : [rateLimitPerS ?? null, isLeaving];
}

export function readSignals(packed: unknown): TargetSignals | undefined {
	if (!Array.isArray(packed)) {
		return undefined;
	}

	const [rateLimitPerS, isLeaving] = packed as unknown[];
	return packed.length === 0 ? NO_SIGNALS : {rateLimitPerS: typeof rateLimitPerS === 'number' ? rateLimitPerS : undefined, isLeaving: isLeaving === true};
}

/** The news of a peer: version of its configuration, ms since the store confirmed it, digest of its hosts' versions, epoch of the store. */
export type News = {readonly siteVersion: number; readonly ageMs: number | undefined; readonly digest: number; readonly storeEpoch: number | undefined};

/** @throws {FrameError} when a field has the wrong type */
export function readNews([, siteVersion, ageMs, digest, storeEpoch]: Frame): News {
	const areOptional = [ageMs, storeEpoch].every(field => field === null || typeof field === 'number');
	if (typeof siteVersion !== 'number' || typeof digest !== 'number' || !areOptional) {
		throw new FrameError('news: expected numbers for version, age, digest and epoch');
	}

	return {
		siteVersion, ageMs: (ageMs as number | null) ?? undefined, digest, storeEpoch: (storeEpoch as number | null) ?? undefined,
	};
}

/** Encodes versions of entries, each as a list of host, revision and entry, which is null if it was deleted. */
export function buildRecordsFrame(records: readonly HostRecord[]): Frame {
	return [FrameTag.records, records.map(({host, revision, entry}) => [host, revision, entry ?? null])];
}

/**
 * Reads the versions of entries that are newer than the known revisions;
 * invalid ones are logged and left out. @throws {FrameError} when the list is missing
 */
export function readRecords([, packed]: Frame, revisions: ReadonlyMap<string, number>, log: EventLog): HostRecord[] {
	// Each version arrives over several links, and only its first copy is decoded.
	const unknown = readItems('records', packed).filter(([host, revision]) => !((revision as number) <= (revisions.get(host as string) ?? 0)));
	return unknown.flatMap(([host, revision, value]) => {
		try {
			const entry = value === null ? undefined : decodeHostEntry(value);
			if (typeof host !== 'string' || !isHostName(host) || typeof revision !== 'number' || (entry !== undefined && entry.host !== host)) {
				throw new FrameError('records: expected host, revision and entry');
			}

			return [entry === undefined ? {host, revision} : {host, revision, entry}];
		} catch (error) {
			log.warn('host_rejected', {host: String(host), reason: (error as Error).message});
			return [];
		}
	});
}

/** Encodes the revisions of entries. */
export function buildVersionsFrame(revisions: ReadonlyMap<string, number>, wantsReply: boolean): Frame {
	return [FrameTag.versions, [...revisions], wantsReply];
}

/** Encodes new revisions of entries, which a peer may request. */
export function buildOffersFrame(revisions: ReadonlyArray<[string, number]>): Frame {
	return [FrameTag.offers, revisions];
}

/** @throws {FrameError} when the list is missing or a revision has the wrong type */
export function readOffers([, packed]: Frame): ReadonlyArray<[string, number]> {
	return readRevisions('offers', packed);
}

/** @throws {FrameError} when the list is missing or a revision has the wrong type */
export function readVersions([, packed, wantsReply]: Frame): {revisions: ReadonlyMap<string, number>; wantsReply: boolean} {
	return {revisions: new Map(readRevisions('versions', packed)), wantsReply: wantsReply === true};
}

/** By what factor a host's target is slower than usual (1 if it isn't), and when its daemon measured that, in ms since 1970. */
export type TargetSlowness = {readonly host: string; readonly slowness: number; readonly measuredMs: number};

/** Encodes the slowness of targets, each as a list of host, factor and time. */
export function buildSlownessFrame(targets: readonly TargetSlowness[]): Frame {
	return [FrameTag.slowness, targets.map(({host, slowness, measuredMs}) => [host, Math.round(slowness * 10) / 10, Math.round(measuredMs)])];
}

/** @throws {FrameError} when the list is missing or a field has the wrong type */
export function readSlowness([, packed]: Frame): TargetSlowness[] {
	return readItems('slowness', packed).map(([host, slowness, measuredMs]) => {
		if (typeof host !== 'string' || typeof slowness !== 'number' || typeof measuredMs !== 'number') {
			throw new FrameError('slowness: expected a host, a factor and a time');
		}

		return {host, slowness, measuredMs};
	});
}

/** Reads a list of lists. @throws {FrameError} when it is none */
export function readItems(field: string, packed: unknown): unknown[][] {
	if (!Array.isArray(packed) || !packed.every(item => Array.isArray(item))) {
		throw new FrameError(`${field}: expected a list of lists`);
	}

	return packed;
}

function readRevisions(field: string, packed: unknown): Array<[string, number]> {
	const items = readItems(field, packed);
	if (!items.every(([host, revision]) => typeof host === 'string' && typeof revision === 'number')) {
		throw new FrameError(`${field}: expected hosts and revisions`);
	}

	return items as Array<[string, number]>;
}
