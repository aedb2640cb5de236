import {digestRequest} from '../wire/index.js';
import {type Call, MAX_INLINE_BODY_BYTES} from './call.js';

/** What identifies a request. */
export type IdentifyingParts = Pick<Call, 'template' | 'path' | 'body'> & {readonly organisation?: string | undefined};

/**
 * Computes what identifies a request whenever and wherever it is sent again: method, host, path, caller, organisation and body.
 * Of a streamed body only the first part counts, as the rest isn't there when the call is decided on.
 */
export function fingerprintOf({template: {method, callerService, headers}, path, organisation = '', body}: IdentifyingParts): string {
	const hostIndex = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === 'host');
	return digestRequest([method, hostIndex === -1 ? '' : headers[hostIndex + 1], path, callerService, organisation], body.subarray(0, MAX_INLINE_BODY_BYTES));
}
