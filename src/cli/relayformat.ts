import {type OrganisationAnswer, type OrganisationReport, type RelayStatus} from '../relay/index.js';

type Basis = Pick<RelayStatus, 'host' | 'siteVersion' | 'confirmationAgeMs' | 'strictAfterMs'>;

/** Formats the status of a daemon of the users' platform as text. */
export function formatRelayStatus(status: RelayStatus): string {
	const {organisationCount, organisations, accountants, otherRefusals} = status;
	const lines = [formatBasis(status)];
	if (organisationCount === undefined) {
		return [...lines, '  no organisations: requests need no key'].join('\n');
	}

	lines.push(`  ${organisationCount} organisations, quotas kept by ${accountants.length === 0 ? 'nobody' : accountants.join(' ')}`);
	for (const organisation of organisations) {
		lines.push(`  ${organisation.name}: ${formatUse(organisation)}, refused here ${organisation.refusals.reduce((sum, {count}) => sum + count, 0)}`);
	}

	if (organisationCount > organisations.length) {
		lines.push(`  ${organisationCount - organisations.length} others: refused here ${otherRefusals}`);
	}

	return lines.join('\n');
}

/** Formats what a daemon says of an organisation. @param asked the hash of what was asked for */
export function formatOrganisation(answer: OrganisationAnswer, asked: string): string {
	const {organisation, isByKey} = answer;
	const lines = [formatBasis(answer)];
	if (organisation === undefined) {
		return [...lines, `  no organisation has this name, or a key with the hash ${asked}: requests with such a key get 401 (unknown-key)`].join('\n');
	}

	const {
		name, keyHashes, rank, weight, budget, refusals,
	} = organisation;
	lines.push(
		`  ${name}${isByKey ? `, which holds the key with the hash ${asked}` : ''}: keys ${keyHashes.length === 0 ? 'none' : keyHashes.join(' ')}, rank ${rank ?? 'of the route'}, weight ${weight}`,
		`  ${formatUse(organisation)}`,
	);
	if (budget !== undefined) {
		const {accountant, newsAgeMs, share, books} = budget;
		lines.push(`  books kept by ${accountant ?? 'nobody'}, heard ${newsAgeMs === undefined ? 'never' : `${Math.round(newsAgeMs)} ms ago`}`);
		if (share !== undefined) {
			lines.push(`  lent to this daemon: ${share.tokens.toFixed(1)} of ${share.capacity.toFixed(1)} left, without news ${share.fillPerS.toFixed(1)}/s; used here ${share.usedPerS.toFixed(1)}/s of ${share.wantedPerS.toFixed(1)}/s wanted`);
		}

		if (books !== undefined) {
			lines.push(`  books, of all daemons: used ${books.usedPerS.toFixed(1)}/s of ${books.wantedPerS.toFixed(1)}/s wanted, ${books.level.toFixed(1)} tokens, ${books.spendable.toFixed(1)} lent; ${(books.scale * 100).toFixed(0)}% of the daemons report`);
		}
	}

	lines.push(...refusals.map(({reason, host, count}) => `  refused ${count}: ${reason}, by ${host === '' ? 'this daemon' : host}`));
	return lines.join('\n');
}

function formatBasis({host, siteVersion, confirmationAgeMs, strictAfterMs}: Basis): string {
	const version = siteVersion === undefined ? 'no configuration' : `configuration version ${siteVersion}, confirmed ${confirmationAgeMs === undefined ? 'never' : `${confirmationAgeMs} ms ago`}`;
	const isRefusing = strictAfterMs !== undefined && (confirmationAgeMs === undefined || confirmationAgeMs > strictAfterMs);
	return `${host}: ${version}${isRefusing ? `; requests with a key get 503 (unconfirmed) after ${strictAfterMs} ms` : ''}`;
}

function formatUse({budget}: OrganisationReport): string {
	if (budget === undefined) {
		return 'no limit';
	}

	const {limit: {ratePerS, burst}, fraction} = budget;
	return `limit ${ratePerS}/s and ${burst} at once over all daemons, ${fraction < 1 ? `over it: ${(fraction * 100).toFixed(0)}% of requests admitted` : 'not over it'}`;
}
