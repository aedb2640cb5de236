import {createHash} from 'node:crypto';

/** How much of a key's hash is shown, in characters: enough to tell keys apart, too little to try keys out. */
const KEY_HASH_LENGTH = 6;

/** The beginning of the SHA-256 of an API key, which stands for the key in logs and reports. */
export function hashPrefixOf(key: string): string {
	return createHash('sha256').update(key).digest('hex').slice(0, KEY_HASH_LENGTH);
}
