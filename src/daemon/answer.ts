import {Buffer} from 'node:buffer';
import {type Answer, type Reason} from '../core/index.js';
import {type HttpMessage, header} from '../wire/index.js';

const MS_PER_SECOND = 1000;

/** HTTP status for each reason. All other reasons map to 503. */
const STATUS_BY_REASON: Partial<Record<Reason, number>> = {
	'unknown-service': 404,
	'unknown-operation': 404,
	'key-from-future': 400,
	'key-too-long': 400,
	'key-expired': 409,
	superseded: 409,
	deadline: 504,
	expired: 504,
	lost: 502,
	'target-failed': 502,
};

/** The HTTP response to a caller. `headers` alternates names and values. */
export type HttpAnswer = {readonly status: number; readonly headers: string[]; readonly body: Uint8Array};

/** Converts an answer to an HTTP response. Any outcome but `complete` becomes a problem document (RFC 9457). */
export function buildHttpAnswer(answer: Answer): HttpAnswer {
	if (answer.outcome === 'complete') {
		const message = answer.payload as HttpMessage;
		return {
			status: message.status ?? 200,
			headers: [...message.headers, header.OUTCOME, 'complete', 'content-length', String(message.body.length)],
			body: message.body,
		};
	}

	return buildProblemDocument(answer);
}

function buildProblemDocument({outcome, reason, retryAfterMs}: Answer): HttpAnswer {
	const problemReason = reason ?? 'lost';
	const status = STATUS_BY_REASON[problemReason] ?? 503;
	const body = Buffer.from(JSON.stringify({
		type: `about:blank#${problemReason}`,
		title: outcome === 'not-run' ? 'The request was not run' : 'The request may have run',
		status,
		detail: problemReason,
		outcome,
		reason: problemReason,
		retryAfterMs,
	}));
	const headers = [
		'content-type',
		'application/problem+json',
		header.OUTCOME,
		outcome,
		header.REASON,
		problemReason,
		'content-length',
		String(body.length),
	];
	if (retryAfterMs !== undefined) {
		headers.push('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)), header.RETRY_AFTER_MS, String(Math.round(retryAfterMs)));
	}

	return {status, headers, body};
}
