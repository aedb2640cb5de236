import {type Explanation, type DaemonStatus} from '../core/index.js';

/** A daemon's state in a few lines. */
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
		`  members: ${status.members.map(({id, status: word}) => `${id}=${word}`).join(' ')}`,
	];
	if (status.pressure.length > 0) {
		lines.push(`  pressure: ${status.pressure.map(({service, upstream, floor}) => `${service}/${upstream}=${Math.round(floor)}`).join(' ')}`);
	}

	for (const {name, labels, count} of status.counters.filter(({name}) => name === 'reasons' || name === 'retries')) {
		lines.push(`  ${name} ${labels.replaceAll('|', ' ').trim()}: ${count}`);
	}

	return lines.join('\n');
}

/** What would happen to a request, in a few lines. */
export function formatExplanation(answer: Explanation): string {
	const lines = [`${answer.verdict}${answer.reason === 'none' ? '' : ` (${answer.reason})`}`];
	if (answer.operation !== undefined) {
		lines.push(
			`  operation ${answer.operation}, class ${answer.className}, rank ${answer.rank}, ${answer.idempotent === true ? 'idempotent' : 'not idempotent'}`,
			`  floor ${Math.round(answer.floor ?? 0)}, share admitted ${((answer.admittedShare ?? 0) * 100).toFixed(1)}%`,
			`  floors below: ${formatPairs(answer.floors ?? {})}`,
			...(answer.candidates ?? []).map(({id, usable, load}) => `  ${id}: ${usable ? 'usable' : 'not usable'}, load ${load.toFixed(2)}`),
		);
	}

	if (answer.home !== undefined) {
		lines.push(`  home of the key: ${answer.home}`);
	}

	return lines.join('\n');
}

function formatPairs(record: Readonly<Record<string, number>>): string {
	return Object.entries(record).map(([name, value]) => `${name}=${Math.round(value)}`).join(' ');
}
