import {type Explanation, type DaemonStatus} from '../core/index.js';

/** Formats a daemon's status as text. */
export function formatStatus(status: DaemonStatus): string {
	const {self} = status;
	const flags = [
		status.isReady ? 'ready' : 'not ready',
		...(status.isDraining ? ['draining'] : []),
		...(status.isWatching ? ['watching'] : []),
		...(status.isPlatformDown ? ['platform down'] : []),
	];
	const lines = [
		`${self.id} (${self.region}/${self.failureDomain}) ${self.service ?? 'no target'}: ${flags.join(', ')}`,
		`  limit ${status.limit}, running ${status.running}, queued ${status.queued}, floor ${Math.round(status.floor)}, ledger ${status.ledgerSize}`,
		`  configuration: ${formatPairs(status.generations)}`,
		`  members: ${status.members.map(({id, status: memberStatus}) => `${id}=${memberStatus}`).join(' ')}`,
	];
	if (status.pressure.length > 0) {
		lines.push(`  pressure: ${status.pressure.map(({service, upstream, floor}) => `${service}/${upstream}=${Math.round(floor)}`).join(' ')}`);
	}

	for (const {name, labels, count} of status.counters.filter(({name}) => name === 'reasons' || name === 'retries')) {
		lines.push(`  ${name} ${labels.replaceAll('|', ' ').trim()}: ${count}`);
	}

	return lines.join('\n');
}

/** Formats an explanation of what would happen to a request as text. */
export function formatExplanation(explanation: Explanation): string {
	const lines = [`${explanation.verdict}${explanation.reason === 'none' ? '' : ` (${explanation.reason})`}`];
	if (explanation.operation !== undefined) {
		lines.push(
			`  operation ${explanation.operation}, class ${explanation.className}, rank ${explanation.rank}, ${explanation.idempotent === true ? 'idempotent' : 'not idempotent'}`,
			`  floor ${Math.round(explanation.floor ?? 0)}, share admitted ${((explanation.admittedShare ?? 0) * 100).toFixed(1)}%`,
			`  floors below: ${formatPairs(explanation.floors ?? {})}`,
			...(explanation.candidates ?? []).map(({id, usable, load}) => `  ${id}: ${usable ? 'usable' : 'not usable'}, load ${load.toFixed(2)}`),
		);
	}

	if (explanation.home !== undefined) {
		lines.push(`  home of the key: ${explanation.home}`);
	}

	return lines.join('\n');
}

function formatPairs(record: Readonly<Record<string, number>>): string {
	return Object.entries(record).map(([name, value]) => `${name}=${Math.round(value)}`).join(' ');
}
