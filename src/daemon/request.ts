import {type IncomingMessage} from 'node:http';
import {MAX_KEY_LENGTH} from '../core/index.js';
import {filterForwardableHeaders, header} from '../wire/index.js';
import {RequestError} from './requesterror.js';

const MAX_BUDGET_MS = 3_600_000;
const MAX_ATTEMPT = 1_000_000;
const MAX_PATH = 4096;

/** What the head of a request says. */
export type RequestHead = {
	readonly service: string;
	readonly method: string;
	/** The path below the service, with the query. */
	readonly path: string;
	readonly headers: string[];
	readonly context?: string;
	readonly key?: string;
	readonly attempt?: number;
	readonly budgetMs?: number;
};

/**
 * Reads `/<service>/<path>` and the headers that steer a request.
 * @throws {RequestError} naming the field at fault
 */
export function parseRequestHead(request: IncomingMessage): RequestHead {
	const url = request.url ?? '/';
	if (url.length > MAX_PATH) {
		throw new RequestError(414, `path: longer than ${MAX_PATH} characters`);
	}

	const end = url.indexOf('/', 1);
	const service = url.slice(1, end === -1 ? undefined : end);
	if (service === '' || service.includes('?')) {
		throw new RequestError(404, 'path: must be /<service>/<path>');
	}

	const key = one(request, header.KEY);
	if (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH)) {
		throw new RequestError(400, `${header.KEY}: must hold 1 to ${MAX_KEY_LENGTH} characters`);
	}

	return {
		service,
		method: request.method ?? 'GET',
		path: end === -1 ? '/' : url.slice(end),
		headers: filterForwardableHeaders(request.rawHeaders),
		context: one(request, header.CONTEXT),
		key,
		attempt: whole(request, header.ATTEMPT, MAX_ATTEMPT),
		budgetMs: whole(request, header.BUDGET_MS, MAX_BUDGET_MS),
	};
}

function one(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function whole(request: IncomingMessage, name: string, max: number): number | undefined {
	const text = one(request, name);
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	if (!/^\d+$/v.test(text) || value < 1 || value > max) {
		throw new RequestError(400, `${name}: must be a whole number from 1 to ${max}`);
	}

	return value;
}
