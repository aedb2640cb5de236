import * as z from 'zod';
import {type HostEntry, type HostRecord} from '../../mesh/index.js';
import {addressSchema} from '../addressschema.js';
import {decode} from '../decode.js';
import {DecodeError} from '../error.js';
import {slotsSchema, startSchema} from '../numberschema.js';
import {type StoredObject} from './store.js';

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

/** The daemon's entry that a value is; undefined if it is none. */
export function findHostEntry(value: unknown): HostEntry | undefined {
	return hostEntrySchema.safeParse(value).data;
}

/** Whether an entry may have this name; what the store or a peer says of others, deletions included, concerns no host. */
export function isHostName(name: string): boolean {
	return nameSchema.safeParse(name).success;
}

/** Validates an entry that the store holds under the name of its host. @throws {DecodeError} when a field is invalid */
export function decodeStoredHost({name, value}: StoredObject): HostEntry {
	const entry = decodeHostEntry(value);
	if (entry.host !== name) {
		throw new DecodeError('host: expected the name of the object');
	}

	return entry;
}

/** The deletion of a stored object as a version of a host's entry; none if no host can have its name. */
export function deletionOf({name, revision}: StoredObject): HostRecord[] {
	return isHostName(name) ? [{host: name, revision}] : [];
}
