import {createHash} from 'node:crypto';

/** The length of a fingerprint in bytes; it is written as twice as many hexadecimal digits. */
export const FINGERPRINT_BYTES = 8;

const FIELD_END = '\n';

/** Computes a short text that identifies a request by these fields and its body. @param fields none may contain a line break */
export function digestRequest(fields: readonly string[], body: Uint8Array): string {
	const hash = createHash('sha256');
	for (const field of fields) {
		hash.update(field).update(FIELD_END);
	}

	return hash.update(body).digest('hex').slice(0, FINGERPRINT_BYTES * 2);
}
