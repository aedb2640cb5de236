import {z} from 'zod';
import {SITE_OBJECT_NAME} from '../core/index.js';

const name = z.string().min(1).max(100).regex(/^[a-z][\w\-]*$/iv, 'must begin with a letter and contain only letters, digits, "_" and "-"');
const durationMs = z.int().min(1).max(3_600_000);

const classSchema = z.strictObject({
	name,
	rank: z.int().min(0).max(7).describe('The priority of the class; load shedding refuses lower ranks first'),
});

/** The site-wide part of the configuration. */
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

/** One service's part of the configuration. */
export const serviceSchema = z.strictObject({
	operations: z.array(operationSchema).min(1).max(256),
	queueTargetMs: durationMs,
	queueLimitMs: durationMs,
});

/** A configuration file, which a team keeps in version control and brings into force with `apply`. */
export const configurationSchema = z.strictObject({
	$schema: z.string().optional(),
	site: siteSchema,
	services: z.record(name, serviceSchema),
});

export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration object as the platform stores it: the site-wide part or one service's part. It has no spec if it has been deleted. */
export const configObjectSchema = z.strictObject({
	name: z.string().min(1).max(200),
	generation: z.int().min(1),
	operationId: z.string().min(1).max(100),
	spec: z.union([siteSchema, serviceSchema]).optional(),
}).refine(({name: objectName, spec}) => spec === undefined || (objectName === SITE_OBJECT_NAME) === ('classes' in spec), {
	path: ['spec'], error: 'must fit the name of the object: a site spec for "site", a service spec for "service/NAME"',
});

export const joinRecordSchema = z.strictObject({
	id: z.string().min(1).max(100),
	address: z.string().max(100).regex(/^(?:\[[\da-f:.]+\]|[\w.\-]+):[1-9]\d{0,4}$/iv, 'expected HOST:PORT').refine(address => URL.canParse(`ws://${address}`), 'expected HOST:PORT'),
	startMs: z.number().min(0),
});
