import {type OperationSpec} from '../core/index.js';
import {
	type Answers, type RequestKind, type Importance, answersSchema,
} from './answers.js';
import {parseConfiguration, parseWithSchema} from './parse.js';
import {type Configuration} from './schema.js';

/** Bounds for the generated `retryPot`, in retries per request of a caller. */
const MIN_RETRY_TOKENS = 2;
const MAX_RETRY_TOKENS = 8;
/** The generated retry budget: retries as a share of the calls to a service. */
const RETRY_RATIO = 0.1;
/** How long a caller keeps the same priority within its class. */
const EPOCH_MS = 10_000;
/** The target and the limit of the queue wait, as shares of the shortest time that a caller of the service waits. */
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

/** @throws {ConfigError} if the value doesn't match the answers schema */
export function parseAnswers(value: unknown): Answers {
	return parseWithSchema(answersSchema, value);
}

/**
 * Derives a site's configuration from a team's answers. The result is
 * deterministic: equal answers give equal configurations.
 * @throws {ConfigError} if the answers contradict each other
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

// Returns the retry tokens that a root request needs. Each hop keeps one token and
// halves the rest among its child calls, so a chain of n calls needs 2 to the power
// of n - 1 tokens if every hop is to have one.
function computeRetryTokens({services}: Answers): number {
	const calls = new Map(services.map(({name, requests}) => [name, requests.flatMap(request => request.calls)]));
	const countHops = (service: string, visited: readonly string[]): number =>
		visited.includes(service) ? 0 : 1 + Math.max(0, ...(calls.get(service) ?? []).map(callee => countHops(callee, [...visited, service])));
	const hops = Math.max(...services.map(({name}) => countHops(name, [])));
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

// Requests of one kind share a class, unless their importance differs from the default of the kind.
function classNameOf(request: RequestAnswers): string {
	const importance = importanceOf(request);
	return importance === KIND_DEFAULTS[request.kind].matters ? request.kind : `${request.kind}-${importance}`;
}
