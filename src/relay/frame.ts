import {type Buffer} from 'node:buffer';
import {type FloorReport} from '../core/index.js';
import {type LoadReport} from '../mesh/index.js';
import {FrameError, pack, unpack} from '../wire/index.js';
import {type Call, type CallTemplate} from './call.js';

/** What the first element of a frame says. */
export const FrameTag = {
	hello: 0,
	call: 1,
	answer: 2,
	refused: 3,
	failed: 4,
	chunk: 5,
	credit: 6,
	cancel: 7,
	site: 8,
	leaving: 9,
	siteRequest: 10,
	floors: 11,
} as const;

/** Shapes kept for a link; past that it forgets them and begins anew. */
const MAX_SHAPES = 1000;

/** A frame as it lies in msgpack: a tag, then the fields in a fixed order. */
export type Frame = readonly [tag: number, ...fields: unknown[]];

export function encodeFrame(frame: Frame): Buffer {
	return pack(frame);
}

/** @throws {FrameError} when the bytes are no frame; the link that they came on is dropped */
export function decodeFrame(bytes: Buffer): Frame {
	const value = unpack(bytes);
	if (!Array.isArray(value) || typeof value[0] !== 'number') {
		throw new FrameError('not a frame');
	}

	return value as unknown as Frame;
}

/** Sends a repeated value whole once, and by its number afterwards. */
export class TemplateWriter {
	readonly #numbers = new Map<string, number>();

	/** @returns the number, and the value if the other side doesn't have it yet */
	write(key: string, value: unknown): readonly [number, unknown] {
		let number = this.#numbers.get(key);
		if (number !== undefined) {
			return [number, null];
		}

		if (this.#numbers.size >= MAX_SHAPES) {
			this.#numbers.clear();
		}

		number = this.#numbers.size;
		this.#numbers.set(key, number);
		return [number, value];
	}
}

/** The other side of a `ShapeWriter`. */
export class TemplateReader<T> {
	readonly #values = new Map<number, T>();

	/** @throws {FrameError} for a number that was never explained */
	read(number: unknown, value: unknown): T {
		if (value !== null && value !== undefined) {
			this.#values.set(number as number, value as T);
			return value as T;
		}

		const held = this.#values.get(number as number);
		if (held === undefined) {
			throw new FrameError(`unknown shape ${String(number)}`);
		}

		return held;
	}
}

const NESTED = 1;
const MORE = 2;
const REPEAT = 4;

/** The frame of a call. */
export function buildCallFrame(id: number, call: Call, shapes: TemplateWriter): Frame {
	const {template: shape} = call;
	const key = `${shape.route}\n${shape.rank}\n${shape.repeatability}\n${shape.method}\n${shape.callerService}\n${shape.headers.join('\n')}`;
	const flags = (call.isNested ? NESTED : 0) | (call.hasMoreBody ? MORE : 0) | (call.isRepeat ? REPEAT : 0);
	const [number, value] = shapes.write(key, shape);
	const body = call.body.length > 0 ? call.body : null;
	const {level, floor} = call.priority;
	return [FrameTag.call, id, number, value, call.instance, Math.round(call.leftMs), flags, call.attemptId, call.path, body, level, floor];
}

/** @throws {FrameError} */
export function readCallFrame(frame: Frame, shapes: TemplateReader<CallTemplate>, empty: Buffer): Call {
	const [number, value, instance, leftMs, flags, attemptId, path, body, level, floor] = frame.slice(2);
	const areNumbers = [leftMs, flags, level, floor].every(field => typeof field === 'number');
	if (!areNumbers || typeof instance !== 'string' || typeof path !== 'string' || typeof attemptId !== 'string') {
		throw new FrameError('a call without its fields');
	}

	return {
		template: shapes.read(number, value),
		instance,
		leftMs: leftMs as number,
		isNested: ((flags as number) & NESTED) !== 0,
		hasMoreBody: ((flags as number) & MORE) !== 0,
		isRepeat: ((flags as number) & REPEAT) !== 0,
		attemptId,
		path,
		body: (body as Buffer | null) ?? empty,
		priority: {level: level as number, floor: floor as number},
	};
}

/** What a daemon knows of floors, as lists of service, upstream, floor and age in ms. */
export function buildFloorReportFrame(reports: readonly FloorReport[]): Frame {
	return [FrameTag.floors, reports.map(({service, upstream, floor, ageMs}) => [service, upstream, Math.round(floor), Math.round(ageMs)])];
}

/** @throws {FrameError} */
export function readFloorReports([, packed]: Frame): FloorReport[] {
	if (!Array.isArray(packed)) {
		throw new FrameError('pressure without its list');
	}

	return (packed as Array<[string, string, number, number]>).map(([service, upstream, floor, ageMs]) => ({
		service, upstream, floor, ageMs,
	}));
}

/** A report in a frame, as four numbers. */
export function packLoadReport(report: LoadReport | undefined): readonly number[] | null {
	return report === undefined ? null : [report.running, report.queued, report.limit, Math.round(report.serviceMs)];
}

export function readLoadReport(packed: unknown): LoadReport | undefined {
	if (!Array.isArray(packed)) {
		return undefined;
	}

	const [running, queued, limit, serviceMs] = packed as number[];
	return {
		running, queued, limit, serviceMs,
	};
}
