import {Buffer} from 'node:buffer';
import {
	type CrashReport, type Hold, type QuarantineNews, type Survival,
} from '../../core/index.js';
import {FINGERPRINT_BYTES, FrameError} from '../../wire/index.js';
import {type Frame, FrameTag, readItems} from './frame.js';

/** Chances are sent as whole numbers of this part, because integers are shorter. */
const CHANCE_UNIT = 1_000_000;
/** Limits the crashes, survivals and holds of a frame. */
const MAX_ITEMS = 8192;

/** Encodes crashes as id, service, start, age in ms, requests, suspect and chance; survivals as request and crashes; holds as request, generation, state, strikes, time left in ms and subject. */
export function buildQuarantineFrame({crashes, survivals, holds}: QuarantineNews): Frame {
	return [
		FrameTag.quarantine,
		crashes.map(({
			id, service, start, ageMs, requests, suspect, chance,
		}) => [id, service, start, Math.round(ageMs), packRequests(requests), suspect === undefined ? null : packRequests([suspect]), Math.ceil(chance * CHANCE_UNIT)]),
		survivals.map(({request, crashes}) => [packRequests([request]), crashes]),
		holds.map(({
			request, generation, isHeld, strikes, leftMs, subject: {
				route, method, path, caller, attemptId,
			},
		}) => [packRequests([request]), generation, isHeld, strikes, Math.round(leftMs), [route, method, path, caller, attemptId]]),
	];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readQuarantine([, crashes, survivals, holds]: Frame): QuarantineNews {
	return {
		crashes: readItems('crashes', crashes).slice(0, MAX_ITEMS).map(item => readCrash(item)),
		survivals: readItems('survivals', survivals).slice(0, MAX_ITEMS).map(item => readSurvival(item)),
		holds: readItems('holds', holds).slice(0, MAX_ITEMS).map(item => readHold(item)),
	};
}

function readCrash([id, service, start, ageMs, requests, suspect, chance]: unknown[]): CrashReport {
	if (!areCounts([id, ageMs, chance]) || typeof service !== 'string' || typeof start !== 'string') {
		throw new FrameError('crashes: expected an id, a service, a start, an age, requests, a suspect and a chance');
	}

	return {
		id: id as number, service, start, ageMs: ageMs as number, requests: unpackRequests(requests), suspect: suspect === null ? undefined : unpackRequest(suspect), chance: Math.min(1, (chance as number) / CHANCE_UNIT),
	};
}

function readSurvival([request, crashes]: unknown[]): Survival {
	if (!Array.isArray(crashes) || !areCounts(crashes)) {
		throw new FrameError('survivals: expected a request and ids of crashes');
	}

	return {request: unpackRequest(request), crashes: crashes as number[]};
}

function readHold([request, generation, isHeld, strikes, leftMs, subject]: unknown[]): Hold {
	const isSubject = Array.isArray(subject) && subject.length === 5 && subject.every(field => typeof field === 'string');
	if (!areCounts([generation, strikes, leftMs]) || typeof isHeld !== 'boolean' || !isSubject) {
		throw new FrameError('holds: expected a request, a generation, a state, strikes, a time and a subject');
	}

	const [route, method, path, caller, attemptId] = subject;
	return {
		request: unpackRequest(request), generation: generation as number, isHeld, strikes: strikes as number, leftMs: leftMs as number, subject: {
			route, method, path, caller, attemptId,
		},
	};
}

function packRequests(requests: readonly string[]): Buffer {
	return Buffer.from(requests.join(''), 'hex');
}

function unpackRequests(packed: unknown): string[] {
	if (!Buffer.isBuffer(packed) || packed.length % FINGERPRINT_BYTES !== 0) {
		throw new FrameError('quarantine: expected fingerprints of requests');
	}

	return Array.from({length: packed.length / FINGERPRINT_BYTES}, (_, index) => packed.toString('hex', index * FINGERPRINT_BYTES, (index + 1) * FINGERPRINT_BYTES));
}

function unpackRequest(packed: unknown): string {
	const requests = unpackRequests(packed);
	if (requests.length !== 1) {
		throw new FrameError('quarantine: expected the fingerprint of one request');
	}

	return requests[0];
}

function areCounts(values: readonly unknown[]): boolean {
	return values.every(value => Number.isSafeInteger(value) && (value as number) >= 0);
}
