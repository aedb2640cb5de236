import {type Buffer} from 'node:buffer';

/** A complete HTTP request or response, as daemons send it to each other. */
export type HttpMessage = {
	/** Set on requests only. */
	readonly method?: string;
	/** Set on requests only: the path as the target receives it, without the service. */
	readonly path?: string;
	/** Set on responses only. */
	readonly status?: number;
	/** Names and values alternate. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | Buffer;
};

/** Hop-by-hop headers in lower case: they apply to one connection and are never forwarded. */
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
// Besides the hop-by-hop headers, those that a daemon sets itself on the next hop.
const NOT_FORWARDED = new Set([...HOP_BY_HOP_HEADERS, 'content-length', 'expect', 'host']);
const DAEMON_HEADER_PREFIX = 'comfreydyke-';

/** Whether a Transfer-Encoding marks the end of the body. If its last coding is another, only the end of the connection does. */
export function endsInChunked(transferEncoding: string): boolean {
	return /(?:^|[,\s])chunked\s*$/iv.test(transferEncoding);
}

/** Removes the hop-by-hop headers, those that each hop sets, and the daemons' own. Names and values alternate. */
export function filterForwardableHeaders(rawHeaders: readonly string[]): string[] {
	const headers: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index].toLowerCase();
		if (!NOT_FORWARDED.has(name) && !name.startsWith(DAEMON_HEADER_PREFIX)) {
			headers.push(name, rawHeaders[index + 1]);
		}
	}

	return headers;
}
