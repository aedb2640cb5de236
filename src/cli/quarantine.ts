import process from 'node:process';
import {type CAC} from 'cac';
import {request} from 'undici';
import {PlatformError} from '../platform/index.js';
import {type LiftReport, type QuarantineReport, QUARANTINE_PATH} from '../relay/index.js';
import {EXIT_FAILURE, UsageError} from './error.js';

const REQUEST_TIMEOUT_MS = 3000;

type QuarantineOptions = {lift?: boolean; json?: boolean};

/** Adds the command that shows and lifts what is held back. */
export function registerQuarantineCommand(cli: CAC): void {
	cli.command('quarantine <address> [fingerprint]', 'Show which requests the daemon at the metrics address HOST:PORT holds back because they crash targets')
		.option('--lift', 'Let the request with the fingerprint through again, at all daemons')
		.option('--json', 'Print the report as JSON')
		.action(runQuarantine);
}

async function runQuarantine(address: string, fingerprint: string | undefined, {lift, json}: QuarantineOptions): Promise<void> {
	if (lift !== true) {
		const report = await send<QuarantineReport>(address, QUARANTINE_PATH, 'GET');
		const isWanted = (item: {readonly request: string}) => fingerprint === undefined || item.request === fingerprint;
		const shown = {...report, held: report.held.filter(item => isWanted(item)), suspects: report.suspects.filter(item => isWanted(item))};
		console.log(json === true ? JSON.stringify(shown, undefined, 2) : formatQuarantine(shown));
		return;
	}

	if (fingerprint === undefined) {
		throw new UsageError('--lift: expected the fingerprint of a request');
	}

	const query = new URLSearchParams({request: fingerprint});
	const {host, isLifted} = await send<LiftReport>(address, `${QUARANTINE_PATH}?${query.toString()}`, 'DELETE');
	console.log(json === true ? JSON.stringify({host, request: fingerprint, isLifted}, undefined, 2) : `${host}: ${fingerprint} ${isLifted ? 'is let through again; the other daemons are told' : 'is not held'}`);
	if (!isLifted) {
		process.exitCode = EXIT_FAILURE;
	}
}

/** Formats what a daemon holds back as text. */
export function formatQuarantine({host, isEnabled, held, suspects}: QuarantineReport): string {
	if (!isEnabled) {
		return `${host}: holds nothing back, as quarantineMs is not in its settings`;
	}

	const lines = [`${host}: ${held.length} held, ${suspects.length} suspected`];
	for (const {request: fingerprint, strikes, leftMs, subject: {route, method, path, caller, attemptId}} of held) {
		const state = leftMs > 0 ? `refused for ${(leftMs / 1000).toFixed(1)} s more` : 'tried alone when it comes next';
		lines.push(`  ${fingerprint} ${state}: ${method} ${path} of route ${route}, from ${caller}; proved ${strikes} times, last by attempt ${attemptId}`);
	}

	lines.push(...suspects.map(({request: fingerprint, crashes}) => `  ${fingerprint} is tried alone: it was in flight at ${crashes} crashes`));
	return lines.join('\n');
}

async function send<T>(address: string, path: string, method: 'GET' | 'DELETE'): Promise<T> {
	try {
		const response = await request(`http://${address}${path}`, {method, headersTimeout: REQUEST_TIMEOUT_MS});
		return await response.body.json() as T;
	} catch (error) {
		throw new PlatformError(0, `${address}: ${(error as Error).message}`, error);
	}
}
