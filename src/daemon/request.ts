import {type IncomingMessage} from 'node:http';
import {MAX_KEY_LENGTH} from '../core/index.js';
import {filterForwardableHeaders, header} from '../wire/index.js';
import {RequestError} from './requesterror.js';

const MAX_BUDGET_MS = 3_600_000;
const MAX_ATTEMPT = 1_000_000;
const MAX_PATH_LENGTH = 4096;

/** The parsed head of a request. */
export type RequestHead = {
	readonly service: string;
	readonly method: string;
	/** The rest of the path after the service, with the query. */
	readonly path: string;
	/** Forwardable headers, names and values alternating. */
	readonly headers: string[];
	readonly context?: string;
	readonly key?: string;
	readonly attempt?: number;
	readonly budgetMs?: number;
};

/**
 * Parses the path `/<service>/<path>` and the headers that control a request.
 * @throws {RequestError} if a field is invalid; the message names it
 */
export function parseRequestHead(request: IncomingMessage): RequestHead {
	const url = request.url ?? '/';
	if (url.length > MAX_PATH_LENGTH) {
		throw new RequestError(414, `path: longer than ${MAX_PATH_LENGTH} characters`);
	}

	const serviceEnd = url.indexOf('/', 1);
	const service = url.slice(1, serviceEnd === -1 ? undefined : serviceEnd);
	if (service === '' || service.includes('?')) {
		throw new RequestError(404, 'path: must be /<service>/<path>');
	}

	if (request.httpVersion === '1.1' && request.headers.host === undefined) {
		throw new RequestError(400, 'host: missing');
	}

	if (request.headers[''] !== undefined) {
		throw new RequestError(400, 'headers: one has no name');
	}

	const key = readHeader(request, header.KEY);
	if (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH)) {
		throw new RequestError(400, `${header.KEY}: must have 1 to ${MAX_KEY_LENGTH} characters`);
	}

	return {
		service,
		method: request.method ?? 'GET',
		path: serviceEnd === -1 ? '/' : url.slice(serviceEnd),
		headers: filterForwardableHeaders(request.rawHeaders),
		context: readHeader(request, header.CONTEXT),
		key,
		attempt: readPositiveInteger(request, header.ATTEMPT, MAX_ATTEMPT),
		budgetMs: readPositiveInteger(request, header.BUDGET_MS, MAX_BUDGET_MS),
	};
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function readPositiveInteger(request: IncomingMessage, name: string, max: number): number | undefined {
	const text = readHeader(request, name);
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	if (!/^\d+$/v.test(text) || value < 1 || value > max) {
		throw new RequestError(400, `${name}: must be a whole number from 1 to ${max}`);
	}

	return value;
}
