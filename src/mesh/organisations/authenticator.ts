import {type Route} from '../routing/route.js';
import {type Site} from '../routing/site.js';
import {type Organisation} from './organisation.js';

/** How long API keys count without a confirmation of the configuration that holds them. */
export type RevocationOptions = {
	/** Whether requests with a key are refused when the configuration is unconfirmed for longer than `maxAgeMs`. */
	readonly isStrict: boolean;
	readonly maxAgeMs: number;
};

/** What is known of a request whose organisation is to be found. */
export type Credentials = {
	readonly route: Route;
	/** The value of its Authorization header. */
	readonly authorization: string | undefined;
	/** Whether its attempt id names a parent, so that it is no client's request. */
	readonly isNested: boolean;
	/** The running call that made it, if it is known here. */
	readonly parentCall: {readonly organisation?: string} | undefined;
	/** How long ago the store confirmed the configuration, in ms. */
	readonly confirmationAgeMs: number;
};

/** Why a request isn't accepted: nobody holds its key, the key may be withdrawn by now, or the run that made it is gone. */
export type AuthenticationRefusal = 'unknown-key' | 'unconfirmed' | 'orphaned';

/** The organisation of an accepted request, which is undefined for a public route's request without a key, or the reason of a refusal. */
export type Authentication
	= | {readonly isAccepted: true; readonly organisation: Organisation | undefined}
		| {readonly isAccepted: false; readonly reason: AuthenticationRefusal};

const BEARER = /^bearer +(?<key>\S+) *$/iv;

/** Finds the organisation that a request belongs to. */
export class Authenticator {
	readonly #revocation: RevocationOptions | undefined;

	/** @param revocation undefined if keys count for as long as no newer configuration is known */
	constructor(revocation: RevocationOptions | undefined) {
		this.#revocation = revocation;
	}

	authenticate({organisations}: Site, credentials: Credentials): Authentication {
		if (organisations === undefined) {
			return {isAccepted: true, organisation: undefined};
		}

		const {route, authorization, isNested, parentCall, confirmationAgeMs} = credentials;
		if (parentCall !== undefined) {
			// The name outlives the organisation: a run isn't cut off when its organisation is removed.
			const name = parentCall.organisation;
			return {isAccepted: true, organisation: name === undefined ? undefined : organisations.get(name) ?? {name, keys: [], burst: 0}};
		}

		const key = readBearerKey(authorization);
		const organisation = key === undefined ? undefined : organisations.findByKey(key);
		if (route.isPublic === true) {
			return {isAccepted: true, organisation};
		}

		if (key === undefined) {
			return {isAccepted: false, reason: isNested ? 'orphaned' : 'unknown-key'};
		}

		// A key that nobody holds here may have been added since the last confirmation.
		if (this.#revocation?.isStrict === true && confirmationAgeMs > this.#revocation.maxAgeMs) {
			return {isAccepted: false, reason: 'unconfirmed'};
		}

		return organisation === undefined ? {isAccepted: false, reason: 'unknown-key'} : {isAccepted: true, organisation};
	}
}

/** The key of an Authorization header of the scheme Bearer. */
export function readBearerKey(authorization: string | undefined): string | undefined {
	return authorization === undefined ? undefined : BEARER.exec(authorization)?.groups?.key;
}
