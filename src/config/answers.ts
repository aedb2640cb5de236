import {z} from 'zod';

const name = z.string().min(1).max(100).regex(/^[a-z][\w\-]*$/iv, 'must begin with a letter and contain only letters, digits, "_" and "-"');

/** The kinds of requests that the questionnaire offers, in terms of the business. Each implies a default importance and repeatability. */
export const REQUEST_KINDS = ['status-check', 'search', 'lookup', 'submission', 'booking', 'hold', 'invoice'] as const;

/** How important it is that a request is still served during overload, lowest first. */
export const IMPORTANCE_LEVELS = ['low', 'normal', 'high'] as const;

/** The numbers that each question allows. */
export const ANSWER_RANGES = {
	waitMs: {min: 10, max: 3_600_000},
	upstreams: {min: 1, max: 10_000},
	slots: {min: 1, max: 100_000},
	connections: {min: 1, max: 100_000},
	resendForMs: {min: 1000, max: 3_600_000},
	clockErrorMs: {min: 0, max: 60_000},
} as const;

const integerIn = ({min, max}: {readonly min: number; readonly max: number}) => z.int().min(min).max(max);

const requestSchema = z.strictObject({
	name,
	kind: z.enum(REQUEST_KINDS).describe('The kind of request; sets the defaults of "matters" and "repeatable"'),
	method: z.enum(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).describe('The HTTP method; * matches any'),
	path: z.string().startsWith('/').max(256).describe('The path prefix'),
	waitMs: integerIn(ANSWER_RANGES.waitMs).describe('How long a caller waits for the response, in ms'),
	calls: z.array(name).max(64).default([]).describe('The services that the target calls directly while it handles this request'),
	matters: z.enum(IMPORTANCE_LEVELS).optional().describe('How important it is that the request is served during overload; defaults to the value of its kind'),
	repeatable: z.boolean().optional().describe('Whether the request is idempotent, so that running it twice does no harm; defaults to the value of its kind'),
});

const serviceSchema = z.strictObject({
	name,
	upstreams: integerIn(ANSWER_RANGES.upstreams).describe('The number of targets that provide the service'),
	slots: integerIn(ANSWER_RANGES.slots).describe('The number of requests that one target runs concurrently'),
	connections: integerIn(ANSWER_RANGES.connections).describe('The number of connections that one target accepts'),
	requests: z.array(requestSchema).min(1).max(256),
});

/** An answers file: a team's answers to the questionnaire, from which `generateConfiguration` derives the configuration. */
export const answersSchema = z.strictObject({
	$schema: z.string().optional(),
	site: name.describe('The name of the site'),
	callers: z.strictObject({
		resendForMs: integerIn(ANSWER_RANGES.resendForMs).describe('How long after its first attempt a caller may resend a request, in ms'),
		clockErrorMs: integerIn(ANSWER_RANGES.clockErrorMs).describe('The largest expected difference between two clocks, in ms'),
	}),
	services: z.array(serviceSchema).min(1).max(1000),
});

export type Answers = z.infer<typeof answersSchema>;
export type RequestKind = typeof REQUEST_KINDS[number];
export type Importance = typeof IMPORTANCE_LEVELS[number];
