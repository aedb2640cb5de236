import {z} from 'zod';

const name = z.string().min(1).max(100).regex(/^[a-z][\w\-]*$/iv, 'must begin with a letter and hold letters, digits, "_" and "-" only');

/** What a request is, in the words that a team uses. */
export const REQUEST_KINDS = ['status-check', 'search', 'lookup', 'submission', 'booking', 'hold', 'invoice'] as const;

/** How much it matters that a request survives overload. */
export const IMPORTANCE_LEVELS = ['low', 'normal', 'high'] as const;

const requestSchema = z.strictObject({
	name,
	kind: z.enum(REQUEST_KINDS).describe('What it is'),
	method: z.enum(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).describe('Its HTTP method; * for any'),
	path: z.string().startsWith('/').max(256).describe('The beginning of its path'),
	waitMs: z.int().min(10).max(3_600_000).describe('How long a caller waits for it, in ms'),
	calls: z.array(name).max(64).default([]).describe('The services that it calls itself'),
	matters: z.enum(IMPORTANCE_LEVELS).optional().describe('If other than usual for its kind'),
	repeatable: z.boolean().optional().describe('Whether running it twice does no harm, if other than usual for its kind'),
});

const serviceSchema = z.strictObject({
	name,
	upstreams: z.int().min(1).max(10_000).describe('How many targets it has'),
	slots: z.int().min(1).max(100_000).describe('How many requests one target runs at once'),
	connections: z.int().min(1).max(100_000).describe('How many connections one target takes'),
	requests: z.array(requestSchema).min(1).max(256),
});

/** A team's answers to the questionnaire. */
export const answersSchema = z.strictObject({
	$schema: z.string().optional(),
	site: name.describe('The site\'s name'),
	callers: z.strictObject({
		resendForMs: z.int().min(1000).max(3_600_000).describe('How long a caller may go on resending one request, in ms'),
		clockErrorMs: z.int().min(0).max(60_000).describe('How far clocks may be apart, in ms'),
	}),
	services: z.array(serviceSchema).min(1).max(1000),
});

export type Answers = z.infer<typeof answersSchema>;
export type RequestKind = typeof REQUEST_KINDS[number];
export type Importance = typeof IMPORTANCE_LEVELS[number];
