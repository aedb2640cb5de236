import {Mesh} from '../../standins/mesh.js';
import {ANSWER_CHECKS} from './answers.js';
import {CRASH_CHECKS} from './crashes.js';
import {type RuleCheck} from './rulecheck.js';
import {LIFECYCLE_CHECKS} from './lifecycle.js';
import {LOAD_CHECKS} from './load.js';
import {ORGANISATION_CHECKS} from './organisations.js';
import {ROUTE_CHECKS} from './routes.js';
import {SIGNAL_CHECKS} from './signals.js';
import {STORE_RESTORE_CHECKS} from './storerestore.js';

export {type RuleCheck} from './rulecheck.js';

/** The checks of all rules of the platform, each with a sabotage of the mechanism that enforces the rule. */
export const RULE_CHECKS: readonly RuleCheck[] = [...ANSWER_CHECKS, ...ROUTE_CHECKS, ...LIFECYCLE_CHECKS, ...LOAD_CHECKS, ...SIGNAL_CHECKS, ...ORGANISATION_CHECKS, ...STORE_RESTORE_CHECKS, ...CRASH_CHECKS];

/** Checks one rule on a new mesh. @returns the violations */
export async function checkRule({run, settings, sabotage}: RuleCheck, isSabotaged: boolean): Promise<string[]> {
	const undo = isSabotaged ? sabotage.apply() : undefined;
	const mesh = new Mesh(settings);
	try {
		return await run(mesh);
	} finally {
		undo?.();
		await mesh.close();
	}
}

/** Checks all rules in turn, with or without their sabotage. @returns the number of unexpected results */
export async function checkRules(isSabotaged: boolean): Promise<number> {
	let unexpected = 0;
	for (const check of RULE_CHECKS) {
		// eslint-disable-next-line no-await-in-loop -- a sabotage changes classes of the whole process
		const violations = await checkRule(check, isSabotaged);
		const isUnexpected = (violations.length > 0) !== isSabotaged;
		unexpected += isUnexpected ? 1 : 0;
		const result = isSabotaged ? `${check.sabotage.title} | ${isUnexpected ? 'NOT CAUGHT' : `caught: ${violations[0]}`}` : (violations[0] ?? 'kept');
		console.log(`rule ${check.rule} | ${result}`);
	}

	return unexpected;
}
