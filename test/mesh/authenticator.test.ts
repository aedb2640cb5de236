import {describe, expect, it} from 'vitest';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';
import {Authenticator} from '../../src/mesh/organisations/authenticator.js';
import {Site} from '../../src/mesh/index.js';

const MAX_AGE_MS = 1000;
const ROUTE = createRoute('x', 'back');
const SITE = new Site(1, {...createSiteSpec([ROUTE], 1), organisations: [{name: 'acme', keys: ['known'], burst: 0}]});

function authenticate(isStrict: boolean, key: string | undefined, confirmationAgeMs: number) {
	const result = new Authenticator({isStrict, maxAgeMs: MAX_AGE_MS}).authenticate(SITE, {
		route: ROUTE, authorization: key && `Bearer ${key}`, isNested: false, parentCall: undefined, confirmationAgeMs,
	});
	return result.isAccepted ? result.organisation?.name : result.reason;
}

describe('a key under a configuration that nobody has confirmed for too long', () => {
	it.each([
		['known', 'unconfirmed', 'acme'],
		['new', 'unconfirmed', 'unknown-key'],
		[undefined, 'unknown-key', 'unknown-key'],
	])('%s: strict says %s, lenient %s', (key, strict, lenient) => {
		expect([authenticate(true, key, MAX_AGE_MS + 1), authenticate(false, key, MAX_AGE_MS + 1)]).toEqual([strict, lenient]);
	});

	it('counts as before while it is confirmed', () => {
		expect(['known', 'new', undefined].map(key => authenticate(true, key, MAX_AGE_MS))).toEqual(['acme', 'unknown-key', 'unknown-key']);
	});
});
