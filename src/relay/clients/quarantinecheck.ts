import {type Quarantine, type QuarantineVerdict} from '../../core/index.js';
import {type IdentifyingParts, fingerprintOf} from '../fingerprint.js';

/** Whether one request may be sent to a target; its fingerprint is computed only if that matters. */
export class QuarantineCheck {
	readonly #quarantine: Quarantine;
	readonly #parts: () => IdentifyingParts;
	#fingerprint: string | undefined;
	#hasCrashedTarget = false;

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

	/** Records that the target crashed that ran the request last. */
	onCrashed(): void {
		this.#hasCrashedTarget = true;
	}

	/** By what all daemons choose the same target for the request, so that it crashes one at a time; undefined if it was in flight at no crash. */
	get placementKey(): string | undefined {
		const mayCrash = this.#hasCrashedTarget || (!this.#quarantine.isIdle && (this.#quarantine.crashesOf(this.fingerprint) > 0 || this.#quarantine.isHeld(this.fingerprint)));
		return mayCrash ? this.fingerprint : undefined;
	}

	/** How long the request is still refused, in ms; undefined if this daemon doesn't know that it is. */
	leftMs(nowMs: number): number | undefined {
		const leftMs = this.#quarantine.leftMs(this.fingerprint, nowMs);
		return leftMs === 0 ? undefined : leftMs;
	}
}
