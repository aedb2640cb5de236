import {z} from 'zod';
import {SITE_OBJECT_NAME} from '../core/index.js';

const name = z.string().min(1).max(100).regex(/^[a-z][\w\-]*$/iv, 'must begin with a letter and hold letters, digits, "_" and "-" only');
const durationMs = z.int().min(1).max(3_600_000);

const classSchema = z.strictObject({
	name,
	rank: z.int().min(0).max(7).describe('A higher rank survives longer'),
});

/** The site-wide configuration. */
export const siteSchema = z.strictObject({
	classes: z.array(classSchema).min(1).max(64),
	retryPot: z.int().min(0).max(32),
	retryRatio: z.number().min(0).max(1),
	resendWindowMs: durationMs,
	clockSkewMs: z.int().min(0).max(60_000),
	epochMs: durationMs,
});

const operationSchema = z.strictObject({
	name,
	method: z.enum(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	path: z.string().startsWith('/').max(256),
	class: name,
	idempotent: z.boolean(),
	budgetMs: durationMs,
	calls: z.array(name).max(64),
});

/** One service's configuration. */
export const serviceSchema = z.strictObject({
	operations: z.array(operationSchema).min(1).max(256),
	queueTargetMs: durationMs,
	queueLimitMs: durationMs,
});

/** A configuration file: what a team keeps in version control. */
export const configurationSchema = z.strictObject({
	$schema: z.string().optional(),
	site: siteSchema,
	services: z.record(name, serviceSchema),
});

export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration object as it comes from the platform. */
export const configObjectSchema = z.strictObject({
	name: z.string().min(1).max(200),
	generation: z.int().min(1),
	operationId: z.string().min(1).max(100),
	spec: z.union([siteSchema, serviceSchema]).optional(),
}).refine(({name: object, spec}) => spec === undefined || (object === SITE_OBJECT_NAME) === ('classes' in spec), {
	path: ['spec'], error: 'is of another kind than the object\'s name says',
});

export const joinRecordSchema = z.strictObject({
	id: z.string().min(1).max(100),
	address: z.string().min(3).max(100),
	startMs: z.number().min(0),
});
