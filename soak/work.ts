/** What a target does for a request: it works, then answers with chunks of this size, with a pause after each. */
export type Work = {readonly workMs: number; readonly chunks: number; readonly chunkBytes: number; readonly pauseMs: number; readonly hasLength: boolean};

/** The prefixes of the routes of clients that use their connections until these are closed. */
export const PIPELINED_PREFIX = '/kept/';
export const UPLOAD_PREFIX = '/upload/';
export const STREAM_PREFIX = '/stream/';
const PREFIXES = [PIPELINED_PREFIX, UPLOAD_PREFIX, STREAM_PREFIX];

/** Whether a path needs no key. */
export const isPublic = (path: string) => ['/open/', ...PREFIXES].some(prefix => path.startsWith(prefix));

/** Encodes the work as a path of one of these routes. */
export function encodeWork(prefix: string, {workMs, chunks, chunkBytes, pauseMs, hasLength}: Work): string {
	return `${prefix}${[workMs, chunks, chunkBytes, pauseMs, Number(hasLength)].join('-')}`;
}

/** @returns undefined if the path is of another route */
export function decodeWork(path: string): Work | undefined {
	const prefix = PREFIXES.find(one => path.startsWith(one));
	if (prefix === undefined) {
		return undefined;
	}

	const [workMs, chunks, chunkBytes, pauseMs, hasLength] = path.slice(prefix.length).split('-').map(Number);
	return {
		workMs, chunks, chunkBytes, pauseMs, hasLength: hasLength === 1,
	};
}
