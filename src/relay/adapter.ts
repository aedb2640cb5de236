import {type Announcement, type Deregistration, type SiteSpec} from '../mesh/index.js';
import {type ObjectStore} from './store/store.js';

/** The names of the HTTP headers that the daemon exchanges with clients and targets, in lower case. */
export type HeaderNames = {
	readonly attemptId: string;
	/** Carries how long the client still waits, in ms. */
	readonly deadlineMs: string;
	readonly signature: string;
	readonly expectedInstance: string;
	readonly load: string;
	readonly notRun: string;
	readonly callerService: string;
	/** Tells the target the organisation that the request belongs to. */
	readonly organisation: string;
	/** Carries the target's id in answers to health checks. */
	readonly instance: string;
	/** Carries the requests per second that the target accepts from all hosts together. */
	readonly rateLimit: string;
	/** Is `1` in the answers of a target that is about to leave. */
	readonly leaving: string;
};

/** A message from a target to the daemon beside it. */
export type TargetMessage
	= | {readonly type: 'announcement'; readonly announcement: Announcement}
		| {readonly type: 'farewell'; readonly farewell: Deregistration};

/** Identifies the object in the store that holds the configuration. */
export type ConfigurationKey = {readonly kind: string; readonly name: string};

/** Translates between the daemon and the platform that it runs on: headers, stored configuration, target messages. */
export abstract class Adapter {
	abstract readonly headers: HeaderNames;
	/** The prefixes, in lower case, of all header names that the platform defines, those that nothing here reads included. */
	abstract readonly headerPrefixes: readonly string[];
	abstract readonly configuration: ConfigurationKey;
	abstract readonly store: ObjectStore;
	/** The URL path of the readiness check. */
	abstract readonly readinessPath: string;
	/** Reads the operator's version of a stored configuration, without the rest of it. @throws {DecodeError} */
	abstract decodeSiteVersion(value: unknown): number;
	/** @throws {DecodeError} when the stored configuration is invalid */
	abstract decodeSite(value: unknown): SiteSpec;
	/** @throws {DecodeError} when the request is no valid announcement or deregistration */
	abstract decodeTargetMessage(method: string, path: string, body: string): TargetMessage;
	/** Reads the number of calls that a target runs concurrently from the load header of its answer. */
	abstract parseSlots(load: string): number | undefined;
	/**
	 * Reads how long work takes on a target's machine now from the load header of its answer: 1 is as usual, undefined if it isn't told.
	 * @throws {DecodeError} when it is malformed or no plausible factor
	 */
	abstract decodeMachineLoad(load: string): number | undefined;
	/** Returns the id of the attempt that a nested call belongs to, if the nested call's id contains it. */
	abstract parseParentAttemptId(attemptId: string): string | undefined;
}
