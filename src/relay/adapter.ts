import {type Announcement, type Deregistration, type SiteSpec} from '../mesh/index.js';
import {type ObjectStore} from './store.js';

/** The names of the headers that daemon, clients and targets say things by; all in lower case. */
export type HeaderNames = {
	readonly attemptId: string;
	/** How long the client still waits, in ms. */
	readonly deadlineMs: string;
	readonly signature: string;
	readonly expectedInstance: string;
	readonly load: string;
	readonly notRun: string;
	readonly callerService: string;
	/** The target's id, on the answers to health checks. */
	readonly instance: string;
};

/** What a target said to its daemon. */
export type TargetMessage
	= | {readonly type: 'announcement'; readonly announcement: Announcement}
		| {readonly type: 'farewell'; readonly farewell: Deregistration};

/** Where the configuration lies in the store. */
export type ConfigurationKey = {readonly kind: string; readonly name: string};

/** Translates between this product and the platform that it runs on. */
export abstract class Adapter {
	abstract readonly headers: HeaderNames;
	abstract readonly configuration: ConfigurationKey;
	abstract readonly store: ObjectStore;
	/** Where the readiness question is asked. */
	abstract readonly readinessPath: string;
	/** @throws {DecodeError} */
	abstract decodeSite(value: unknown): SiteSpec;
	/** @throws {DecodeError} */
	abstract decodeTargetMessage(method: string, path: string, body: string): TargetMessage;
	/** How many calls a target runs at once, from what it tells of its load with its answers. */
	abstract parseSlots(load: string): number | undefined;
	/** The attempt that a nested call's attempt belongs to, if its id tells. */
	abstract parseParentAttemptId(attemptId: string): string | undefined;
}
