import {Mesh} from '../../standins/mesh.js';
import {ANSWER_CHECKS} from './answers.js';
import {type RuleCheck} from './rulecheck.js';
import {LIFECYCLE_CHECKS} from './lifecycle.js';
import {LOAD_CHECKS} from './load.js';
import {ROUTE_CHECKS} from './routes.js';

export {type RuleCheck} from './rulecheck.js';

/** The rules of the platform, each with the mechanism that keeps it. */
export const RULE_CHECKS: readonly RuleCheck[] = [...ANSWER_CHECKS, ...ROUTE_CHECKS, ...LIFECYCLE_CHECKS, ...LOAD_CHECKS];

/** Checks one rule on a mesh of its own. @returns what broke it */
export async function checkRule({run, sabotage}: RuleCheck, isSabotaged: boolean): Promise<string[]> {
	const undo = isSabotaged ? sabotage.apply() : undefined;
	const mesh = new Mesh();
	try {
		return await run(mesh);
	} finally {
		undo?.();
		await mesh.close();
	}
}

/** Checks all rules one after the other, whole or each without its mechanism. @returns how many came out wrong */
export async function checkRules(isSabotaged: boolean): Promise<number> {
	let wrong = 0;
	for (const check of RULE_CHECKS) {
		// eslint-disable-next-line no-await-in-loop -- a sabotage concerns the whole process
		const violations = await checkRule(check, isSabotaged);
		const isWrong = (violations.length > 0) !== isSabotaged;
		wrong += isWrong ? 1 : 0;
		const told = isSabotaged ? `${check.sabotage.title} | ${isWrong ? 'NOT CAUGHT' : `caught: ${violations[0]}`}` : (violations[0] ?? 'kept');
		console.log(`rule ${check.rule} | ${told}`);
	}

	return wrong;
}
