import {describe, expect, it} from 'vitest';
import {RULE_CHECKS, checkRule} from '../proof/rules/index.js';

const TIMEOUT_MS = 20_000;

describe('a rule of the platform', () => {
	it.each(RULE_CHECKS.map(check => [check.rule, check] as const))('%s holds on an unmodified mesh', async (_rule, check) => {
		expect(await checkRule(check, false)).toEqual([]);
	}, TIMEOUT_MS);

	it.each(RULE_CHECKS.map(check => [check.rule, check.sabotage.title, check] as const))('%s is reported as violated if %s', async (_rule, _title, check) => {
		expect(await checkRule(check, true)).toHaveLength(1);
	}, TIMEOUT_MS);
});
