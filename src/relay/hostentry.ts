import {z} from 'zod';
import {type HostEntry} from '../mesh/index.js';
import {DecodeError} from './error.js';

const hostEntrySchema = z.object({
	host: z.string().min(1),
	failureDomain: z.string(),
	address: z.string().regex(/^[\d.]+:\d+$/v),
	target: z.object({
		id: z.string().min(1),
		service: z.string().min(1),
		slots: z.int().min(1),
		state: z.enum(['ready', 'draining']),
	}).optional(),
});

/** Reads a daemon's entry. @throws {DecodeError} */
export function hostEntryOf(value: unknown): HostEntry {
	const parsed = hostEntrySchema.safeParse(value);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		throw new DecodeError(`${issue.path.join('.')}: ${issue.message}`);
	}

	return parsed.data;
}
