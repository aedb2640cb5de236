import {z} from 'zod';

const name = z.string().min(1).max(100).regex(/^[\w.\-]+$/v, 'must contain only letters, digits, "_", "." and "-"');
const port = z.int().min(1).max(65_535);
const host = z.union([z.ipv4(), z.ipv6()]);

/** A daemon's settings file: what it needs before it can reach the platform or its peers, from which it learns the rest. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	id: name.describe('The id of this daemon; unique in the site'),
	region: name,
	failureDomain: name,
	listen: z.strictObject({host, port}).describe('The address on which the daemon accepts connections from callers, its own target and peers'),
	platform: z.strictObject({
		url: z.url(),
		timeoutMs: z.int().min(50).max(60_000).default(2000),
	}).describe('The object API of the platform'),
	siteKey: z.string().min(16).max(256).describe('The secret shared by all daemons of the site'),
	seeds: z.array(z.strictObject({id: name, host, port})).default([]).describe('Peers to contact if the platform is unreachable when the daemon starts'),
	metrics: z.strictObject({
		host,
		port,
		prefix: z.string().default('comfreydyke.'),
		intervalMs: z.int().min(100).max(600_000).default(10_000),
	}).optional().describe('The StatsD server that receives the metrics'),
	quarantineMs: z.int().min(1000).max(3_600_000).optional().describe('How long a request that was proved to crash targets is refused, in ms, before it is tried again; without it none is'),
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
	}).prefault({}),
	limits: z.strictObject({
		bodyBytes: z.int().min(1024).max(3_000_000).default(1_048_576),
		requests: z.int().min(1).default(10_000).describe('The most requests that the daemon holds at the same time'),
		ledgerKeys: z.int().min(1).default(100_000),
		idleTimeoutMs: z.int().min(1000).max(3_600_000).default(65_000).describe('How long a caller\'s connection may stay idle after an answer, in ms'),
	}).prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
