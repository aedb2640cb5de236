import {type Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {type Frame} from '../core/index.js';
import {findFrameFault} from './framecheck.js';

/** Longest frame accepted from a peer, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Reports a frame that can't be decoded. The message names the invalid field. */
export class FrameError extends Error {
	override readonly name = 'FrameError';
}

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/** Encodes a value as msgpack. */
export function pack(value: unknown): Buffer {
	return packr.pack(value);
}

/** @throws {FrameError} if the bytes are not valid msgpack */
export function unpack(bytes: Uint8Array): unknown {
	try {
		return packr.unpack(bytes);
	} catch (error) {
		throw new FrameError('frame: not valid msgpack', {cause: error});
	}
}

export function encodeFrame(frame: Frame): Uint8Array {
	return pack(frame);
}

/** @throws {FrameError} if the bytes are not a valid frame */
export function decodeFrame(bytes: Uint8Array): Frame {
	const value = unpack(bytes);
	const fault = findFrameFault(value);
	if (fault !== undefined) {
		throw new FrameError(fault);
	}

	return value as Frame;
}
