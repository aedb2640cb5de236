import {type Buffer} from 'node:buffer';

/** A whole request or answer, as it is carried between daemons. */
export type HttpMessage = {
	/** Of a request. */
	readonly method?: string;
	/** Of a request; the part that the target sees. */
	readonly path?: string;
	/** Of an answer. */
	readonly status?: number;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | Buffer;
};

/** Headers that concern one connection only, in lower case. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);
// What a daemon writes anew besides.
const REWRITTEN = new Set([...HOP_BY_HOP_HEADERS, 'content-length', 'expect', 'host']);
const OWN_PREFIX = 'comfreydyke-';

/** Leaves out the headers that belong to one connection or to the daemons. */
export function filterForwardableHeaders(rawHeaders: readonly string[]): string[] {
	const headers: string[] = [];
	for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
		const name = rawHeaders[at].toLowerCase();
		if (!REWRITTEN.has(name) && !name.startsWith(OWN_PREFIX)) {
			headers.push(name, rawHeaders[at + 1]);
		}
	}

	return headers;
}
