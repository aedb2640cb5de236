import {type Call} from './frame.js';

/** The parts of a request that identify it. */
export type IdentifiedRequest = Pick<Call, 'service' | 'payload'>;

/** Reads from payloads, which are opaque to the core, what identifies their requests. */
export abstract class RequestIdentity {
	/** Computes the same text whenever and wherever a request with this method, path and body is sent. */
	abstract fingerprintOf(request: IdentifiedRequest): string;
	/** The method and the path, for operators. */
	abstract describe(request: IdentifiedRequest): {readonly method: string; readonly path: string};
	/** The memory that the payload takes, in bytes. */
	abstract sizeOf(request: IdentifiedRequest): number;
}
