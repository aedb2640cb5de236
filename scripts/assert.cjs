/**
 * `node:assert` for bundles. Node.js makes the message of a failed `assert` from the source at its place, which it parses from the beginning
 * of the line: with the long lines of a minified bundle, the process stands still for seconds.
 */
'use strict';

const assert = require('node:assert');

function check(value, message = 'assertion failed') {
	if (value) {
		return;
	}

	if (message instanceof Error) {
		throw message;
	}

	throw new assert.AssertionError({
		message, actual: value, expected: true, operator: '==', stackStartFn: check,
	});
}

module.exports = Object.assign(check, assert, {ok: check, strict: Object.assign(check.bind(undefined), assert.strict, {ok: check})});
