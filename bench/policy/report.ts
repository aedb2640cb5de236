import bounds from '../bounds.json' with {type: 'json'};
import {type Measures, comparableRecoveryMs} from './measure.js';
import {SCENARIOS} from './scenario.js';

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** Prints one table of results for each deployment. */
export function printTables(results: readonly Measures[], seed: number): void {
	console.log(`seed ${seed}`);
	for (const deployment of new Set(results.map(measures => measures.deployment))) {
		const rows = results.filter(measures => measures.deployment === deployment);
		console.log(`\n${deployment}: capacity ${rows[0].capacity.toFixed(0)} requests/s from slots and service times`);
		console.table(rows.map(measures => ({
			scenario: measures.scenario,
			policy: measures.policy,
			goodput: formatPercent(measures.goodput),
			important: formatPercent(measures.importantComplete),
			other: formatPercent(measures.otherComplete),
			recovery: measures.recoveryMs === -1 ? 'never' : `${measures.recoveryMs} ms`,
			wasted: formatPercent(measures.wasted),
			'sends/request': measures.sendsPerRequest.toFixed(2),
			'retries/request': measures.retriesPerRequest.toFixed(3),
			'refusal p99': `${measures.refusalP99Ms.toFixed(1)} ms`,
			fairness: measures.fairness.toFixed(3),
		})));
	}
}

/** Describes each result of comfreydyke that violates bounds.json or falls behind a baseline. */
export function findOutOfBounds(results: readonly Measures[]): string[] {
	return results.filter(measures => measures.policy === 'comfreydyke').flatMap(measures => [
		...findAbsoluteViolations(measures),
		...findRelativeViolations(measures, results),
	]);
}

function findAbsoluteViolations(measures: Measures): string[] {
	const label = `${measures.deployment} ${measures.scenario}`;
	const violations: string[] = [];
	const goodputBound = (bounds.goodput as Record<string, number>)[measures.scenario];
	if (goodputBound !== undefined && measures.goodput < goodputBound) {
		violations.push(`${label}: goodput ${formatPercent(measures.goodput)} below ${formatPercent(goodputBound)}`);
	}

	if (measures.scenario === 'steady' && (measures.completeShare < bounds.steadyComplete || measures.refusals > 0)) {
		violations.push(`${label}: complete ${formatPercent(measures.completeShare)}, refusals ${measures.refusals}`);
	}

	if (measures.importantDemand <= bounds.importantDemandMax && measures.importantComplete < bounds.importantComplete) {
		violations.push(`${label}: important complete ${(measures.importantComplete * 100).toFixed(2)}% at demand ${formatPercent(measures.importantDemand)}`);
	}

	const recoveryBound = (bounds.recoveryMs as Record<string, number>)[measures.deployment];
	if (comparableRecoveryMs(measures.recoveryMs) > recoveryBound) {
		violations.push(`${label}: recovery ${measures.recoveryMs} ms above ${recoveryBound} ms`);
	}

	if (measures.wasted > bounds.wasted || measures.wastedSteady > bounds.wastedSteady) {
		violations.push(`${label}: wasted ${formatPercent(measures.wasted)}, before the pressure ${formatPercent(measures.wastedSteady)}`);
	}

	if (measures.firstRefusalMaxMs > bounds.firstRefusalMs) {
		violations.push(`${label}: a refusal for pressure took ${measures.firstRefusalMaxMs.toFixed(1)} ms`);
	}

	return violations;
}

function findRelativeViolations(measures: Measures, results: readonly Measures[]): string[] {
	const isOverloadOrFailure = SCENARIOS.find(({name}) => name === measures.scenario)?.isOverloadOrFailure === true;
	const baselines = results.filter(other => other.policy !== 'comfreydyke' && other.deployment === measures.deployment && other.scenario === measures.scenario);
	const violations: string[] = [];
	for (const baseline of baselines) {
		const label = `${measures.deployment} ${measures.scenario} against ${baseline.policy}`;
		if (measures.goodput < baseline.goodput - bounds.behindBaseline) {
			violations.push(`${label}: goodput ${formatPercent(measures.goodput)} to ${formatPercent(baseline.goodput)}`);
		}

		if (isOverloadOrFailure && comparableRecoveryMs(measures.recoveryMs) > comparableRecoveryMs(baseline.recoveryMs)) {
			violations.push(`${label}: recovery ${measures.recoveryMs} ms to ${baseline.recoveryMs} ms`);
		}
	}

	return violations;
}
