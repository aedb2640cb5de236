import type * as z from 'zod';
import {DecodeError} from './error.js';

/** Validates a value against a schema. @throws {DecodeError} that names the first invalid field and the reason */
export function decode<T>(schema: z.ZodType<T>, value: unknown): T {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const [issue] = parsed.error.issues;
	throw new DecodeError(`${issue.path.join('.') || 'body'}: ${issue.message}`);
}

/** Copies a decoded JSON value without what is nested deeper than `maxDepth` levels; null takes its place. */
export function limitDepth(value: unknown, maxDepth: number): unknown {
	if (typeof value !== 'object' || value === null) {
		return value;
	}

	if (maxDepth === 0) {
		return null;
	}

	return Array.isArray(value)
		? value.map(item => limitDepth(item, maxDepth - 1))
		: Object.fromEntries(Object.entries(value).map(([key, item]) => [key, limitDepth(item, maxDepth - 1)]));
}
