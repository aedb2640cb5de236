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
