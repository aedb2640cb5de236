import {type Quarantine, type QuarantineVerdict} from '../../mesh/index.js';
import {type IdentifyingParts, fingerprintOf} from '../fingerprint.js';

/** Whether one request may be sent to a target; its fingerprint is computed only if that matters. */
export class QuarantineCheck {
	readonly #quarantine: Quarantine;
	readonly #parts: () => IdentifyingParts;
	#fingerprint: string | undefined;

	/** @param parts what identifies the request, once its body is there */
	constructor(quarantine: Quarantine, parts: () => IdentifyingParts) {
		this.#quarantine = quarantine;
		this.#parts = parts;
	}

	get fingerprint(): string {
		this.#fingerprint ??= fingerprintOf(this.#parts());
		return this.#fingerprint;
	}

	verdictAt(nowMs: number): QuarantineVerdict {
		return this.#quarantine.isActive ? this.#quarantine.verdictOf(this.fingerprint, nowMs) : 'pass';
	}

	/** How long the request is still refused, in ms; undefined if this daemon doesn't know that it is. */
	leftMs(nowMs: number): number | undefined {
		const leftMs = this.#quarantine.leftMs(this.fingerprint, nowMs);
		return leftMs === 0 ? undefined : leftMs;
	}
}
