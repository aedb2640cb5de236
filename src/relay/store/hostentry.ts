import * as z from 'zod';
import {type HostEntry} from '../../mesh/index.js';
import {addressSchema} from '../addressschema.js';
import {decode} from '../decode.js';

const hostEntrySchema = z.object({
	host: z.string().min(1),
	failureDomain: z.string(),
	address: addressSchema,
	target: z.object({
		id: z.string().min(1),
		bornMs: z.number().optional(),
		service: z.string().min(1),
		slots: z.int().min(1),
		state: z.enum(['ready', 'draining']),
	}).optional(),
	ended: z.object({id: z.string().min(1), bornMs: z.number()}).optional(),
});

/** Validates a daemon's entry from the store or from a peer. @throws {DecodeError} when a field is invalid */
export function decodeHostEntry(value: unknown): HostEntry {
	return decode(hostEntrySchema, value);
}
