import {type OperationSpec} from '../core/index.js';
import {
	type Answers, type RequestKind, type Importance, answersSchema,
} from './answers.js';
import {parseConfiguration, parseWithSchema} from './parse.js';
import {type Configuration} from './schema.js';

const MIN_RETRY_TOKENS = 2;
const MAX_RETRY_TOKENS = 8;
const RETRY_RATIO = 0.1;
const EPOCH_MS = 10_000;
/** The part of the shortest wait that a queue may take, aimed for and at most. */
const QUEUE_TARGET_SHARE = 1 / 10;
const QUEUE_LIMIT_SHARE = 1 / 4;
const MIN_QUEUE_TARGET_MS = 10;
const MAX_QUEUE_TARGET_MS = 300;

const KIND_DEFAULTS: Record<RequestKind, {matters: Importance; repeatable: boolean}> = {
	'status-check': {matters: 'low', repeatable: true},
	search: {matters: 'low', repeatable: true},
	lookup: {matters: 'normal', repeatable: true},
	submission: {matters: 'high', repeatable: false},
	booking: {matters: 'high', repeatable: false},
	hold: {matters: 'high', repeatable: false},
	invoice: {matters: 'high', repeatable: false},
};
const RANK_BY_IMPORTANCE: Record<Importance, number> = {low: 0, normal: 1, high: 2};

type ServiceAnswers = Answers['services'][number];
type RequestAnswers = ServiceAnswers['requests'][number];

/** @throws {ConfigError} */
export function parseAnswers(value: unknown): Answers {
	return parseWithSchema(answersSchema, value);
}

/**
 * Works out a site's configuration from a team's answers. The same answers
 * always give the same configuration.
 * @throws {ConfigError} when the answers contradict each other
 */
export function generateConfiguration(answers: Answers): Configuration {
	const requests = answers.services.flatMap(service => service.requests);
	const classes = new Map(requests.map(request => [classNameOf(request), RANK_BY_IMPORTANCE[importanceOf(request)]]));
	return parseConfiguration({
		site: {
			classes: [...classes].toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([name, rank]) => ({name, rank})),
			retryPot: computeRetryTokens(answers),
			retryRatio: RETRY_RATIO,
			resendWindowMs: answers.callers.resendForMs,
			clockSkewMs: answers.callers.clockErrorMs,
			epochMs: EPOCH_MS,
		},
		services: Object.fromEntries(answers.services.map(service => [service.name, generateService(service)])),
	});
}

// Each hop keeps one token and halves the rest among its child calls, so a chain
// of n calls needs 2 to the power of n - 1 for every hop to have one.
function computeRetryTokens({services}: Answers): number {
	const calls = new Map(services.map(({name, requests}) => [name, requests.flatMap(request => request.calls)]));
	const hopsFrom = (service: string, seen: readonly string[]): number =>
		seen.includes(service) ? 0 : 1 + Math.max(0, ...(calls.get(service) ?? []).map(callee => hopsFrom(callee, [...seen, service])));
	const hops = Math.max(...services.map(({name}) => hopsFrom(name, [])));
	return Math.min(MAX_RETRY_TOKENS, Math.max(MIN_RETRY_TOKENS, 2 ** (hops - 1)));
}

function generateService({requests}: ServiceAnswers) {
	const shortestMs = Math.min(...requests.map(({waitMs}) => waitMs));
	const targetMs = Math.min(MAX_QUEUE_TARGET_MS, Math.max(MIN_QUEUE_TARGET_MS, Math.round(shortestMs * QUEUE_TARGET_SHARE)));
	return {
		operations: requests.map(request => generateOperation(request)),
		queueTargetMs: targetMs,
		queueLimitMs: Math.max(2 * targetMs, Math.round(shortestMs * QUEUE_LIMIT_SHARE)),
	};
}

function generateOperation(request: RequestAnswers): OperationSpec {
	return {
		name: request.name,
		method: request.method,
		path: request.path,
		class: classNameOf(request),
		idempotent: request.repeatable ?? KIND_DEFAULTS[request.kind].repeatable,
		budgetMs: request.waitMs,
		calls: request.calls,
	};
}

function importanceOf({kind, matters}: RequestAnswers): Importance {
	return matters ?? KIND_DEFAULTS[kind].matters;
}

function classNameOf(request: RequestAnswers): string {
	const matters = importanceOf(request);
	return matters === KIND_DEFAULTS[request.kind].matters ? request.kind : `${request.kind}-${matters}`;
}
