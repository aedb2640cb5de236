import {type Answer, createRefusal} from './answer.js';
import {type CoreContext} from './corecontext.js';
import {type PendingRequest} from './pendingrequest.js';
import {type Quarantine} from './quarantine/index.js';
import {type RequestIdentity} from './requestidentity.js';

/** Keeps a request that crashes targets from being sent to any. */
export class QuarantineGate {
	readonly #coreContext: CoreContext;
	readonly #quarantine: Quarantine;
	readonly #identity: RequestIdentity;

	constructor(coreContext: CoreContext, quarantine: Quarantine, identity: RequestIdentity) {
		this.#coreContext = coreContext;
		this.#quarantine = quarantine;
		this.#identity = identity;
	}

	/** @returns the answer to a request that is held; undefined if it may be sent */
	findRefusal(pending: PendingRequest): Answer | undefined {
		const {nowMs} = this.#coreContext;
		if (!this.#quarantine.isActive) {
			return undefined;
		}

		const fingerprint = this.#fingerprintOf(pending);
		return this.#quarantine.verdictOf(fingerprint, nowMs) === 'refuse' ? createRefusal('quarantined', this.#quarantine.leftMs(fingerprint, nowMs)) : undefined;
	}

	/** By what all daemons choose the same target for the request, so that it crashes one at a time; undefined if it was in flight at no crash. */
	placementKeyOf(pending: PendingRequest): string | undefined {
		if (this.#quarantine.isIdle) {
			return undefined;
		}

		const fingerprint = this.#fingerprintOf(pending);
		return this.#quarantine.crashesOf(fingerprint) > 0 || this.#quarantine.isHeld(fingerprint) ? fingerprint : undefined;
	}

	#fingerprintOf({operation: {service}, payload}: PendingRequest): string {
		return this.#identity.fingerprintOf({service, payload});
	}
}
