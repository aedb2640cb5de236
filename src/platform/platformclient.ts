import {request} from 'undici';
import {z} from 'zod';
import {parseWithSchema} from '../config/index.js';
import {PlatformError} from './error.js';

/** Time beyond `waitMs` before a watch request without a response is aborted, in ms. */
const WATCH_TIMEOUT_MARGIN_MS = 5000;

const storedSchema = z.object({key: z.string(), version: z.int(), value: z.unknown()});
const listSchema = z.object({version: z.int(), objects: z.array(storedSchema)});
const writtenSchema = z.object({version: z.int()});

/** An object as the platform stores it. */
export type StoredObject = z.infer<typeof storedSchema>;

/** The objects below a prefix, at a version of the store. */
export type ObjectListing = z.infer<typeof listSchema>;

type RequestOptions = {readonly headers?: Record<string, string>; readonly value?: unknown; readonly signal?: AbortSignal};

/** An HTTP client of the platform's object API. */
export class PlatformClient {
	readonly #url: string;
	readonly #timeoutMs: number;

	constructor(url: string, timeoutMs: number) {
		this.#url = url.replace(/\/$/v, '');
		this.#timeoutMs = timeoutMs;
	}

	/** @throws {PlatformError} */
	async list(prefix: string): Promise<ObjectListing> {
		return this.#send('GET', `/objects?prefix=${encodeURIComponent(prefix)}`, listSchema);
	}

	/** @throws {PlatformError} */
	async get(key: string): Promise<StoredObject | undefined> {
		try {
			return await this.#send('GET', `/objects/${encodeURIComponent(key)}`, storedSchema);
		} catch (error) {
			if (error instanceof PlatformError && error.status === 404) {
				return undefined;
			}

			throw error;
		}
	}

	/**
	 * Writes an object if its current version is `version`; 0 means that it must not exist.
	 * @returns the new version
	 * @throws {PlatformError} with status 412 if the version differs
	 */
	async put(key: string, value: unknown, version: number): Promise<number> {
		const headers: Record<string, string> = version === 0 ? {'if-none-match': '*'} : {'if-match': String(version)};
		const {version: newVersion} = await this.#send('PUT', `/objects/${encodeURIComponent(key)}`, writtenSchema, {headers, value});
		return newVersion;
	}

	/** @throws {PlatformError} */
	async delete(key: string): Promise<void> {
		await this.#send('DELETE', `/objects/${encodeURIComponent(key)}`, z.unknown());
	}

	/**
	 * Waits up to `waitMs` for changes after the store version `after`, and returns the changed objects.
	 * @throws {PlatformError}
	 */
	async watch(prefix: string, after: number, waitMs: number, signal: AbortSignal): Promise<ObjectListing> {
		const path = `/watch?prefix=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`;
		const watchSignal = AbortSignal.any([signal, AbortSignal.timeout(waitMs + WATCH_TIMEOUT_MARGIN_MS)]);
		return this.#send('GET', path, listSchema, {signal: watchSignal});
	}

	async #send<T>(method: 'GET' | 'PUT' | 'DELETE', path: string, schema: z.ZodType<T>, options: RequestOptions = {}): Promise<T> {
		const {headers, value, signal = AbortSignal.timeout(this.#timeoutMs)} = options;
		let status = 0;
		try {
			const response = await request(this.#url + path, {
				method,
				headers: {...headers, 'content-type': 'application/json'},
				body: value === undefined ? null : JSON.stringify(value),
				signal,
			});
			status = response.statusCode;
			const text = await response.body.text();
			if (status >= 300) {
				throw new PlatformError(status, `${method} ${path}: status ${status}`);
			}

			return parseWithSchema(schema, text === '' ? undefined : JSON.parse(text));
		} catch (error) {
			if (error instanceof PlatformError) {
				throw error;
			}

			throw new PlatformError(status < 300 ? 0 : status, `${method} ${path}: ${(error as Error).message}`, error);
		}
	}
}
