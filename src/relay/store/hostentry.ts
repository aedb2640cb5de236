import * as z from 'zod';
import {type HostEntry} from '../../mesh/index.js';
import {addressSchema} from '../addressschema.js';
import {decode} from '../decode.js';
import {slotsSchema, startSchema} from '../numberschema.js';

/** Limits each text of an entry, in characters: some entries with longer ones would fill a frame to peers beyond what they accept. */
const MAX_TEXT_LENGTH = 256;

const textSchema = z.string().max(MAX_TEXT_LENGTH);
const nameSchema = textSchema.min(1);

const hostEntrySchema = z.object({
	host: nameSchema,
	failureDomain: textSchema,
	address: addressSchema,
	target: z.object({
		id: nameSchema,
		bornMs: startSchema.optional(),
		service: nameSchema,
		slots: slotsSchema,
		state: z.enum(['ready', 'draining']),
	}).optional(),
	ended: z.object({id: nameSchema, bornMs: startSchema}).optional(),
});

/** Validates a daemon's entry from the store or from a peer. @throws {DecodeError} when a field is invalid */
export function decodeHostEntry(value: unknown): HostEntry {
	return decode(hostEntrySchema, value);
}

/** Whether an entry may have this name; what the store or a peer says of others, deletions included, concerns no host. */
export function isHostName(name: string): boolean {
	return nameSchema.safeParse(name).success;
}
