import {type SiteSpec} from '../src/mesh/index.js';
import {
	Adapter, DecodeError, type ObjectStore, type TargetMessage,
} from '../src/relay/index.js';

/** Names of the headers that the stand-ins send and read. */
export const meshHeaders = {
	attemptId: 'attempt-id',
	deadlineMs: 'deadline-ms',
	signature: 'signature',
	expectedInstance: 'expected-instance',
	load: 'target-load',
	notRun: 'not-run',
	callerService: 'caller-service',
	organisation: 'organisation',
	instance: 'target-instance',
	rateLimit: 'target-rate-limit',
	leaving: 'target-leaving',
};

/** Creates the headers of one attempt of a client. */
export function createAttemptHeaders(id: string, deadlineMs = 2000): Record<string, string> {
	return {host: 'site', [meshHeaders.attemptId]: id, [meshHeaders.deadlineMs]: String(deadlineMs)};
}

/** An adapter for tests: stored objects and messages are values of the relay's own types, so that nothing is converted. */
export class MeshAdapter extends Adapter {
	override readonly headers = meshHeaders;
	override readonly headerPrefixes = ['target-'];
	override readonly configuration = {kind: 'site', name: 'main'};
	override readonly readinessPath = '/ready';
	override readonly store: ObjectStore;

	constructor(store: ObjectStore) {
		super();
		this.store = store;
	}

	override decodeSiteVersion(value: unknown): number {
		return (value as SiteSpec).version;
	}

	override decodeSite(value: unknown): SiteSpec {
		return value as SiteSpec;
	}

	override decodeTargetMessage(_method: string, path: string, body: string): TargetMessage {
		if (path !== '/target') {
			throw new DecodeError('path: expected /target');
		}

		return JSON.parse(body) as TargetMessage;
	}

	override parseSlots(load: string): number | undefined {
		return Number(load) || undefined;
	}

	override decodeMachineLoad(load: string): number | undefined {
		const [, factor] = load.split(' ');
		if (factor !== undefined && !(Number(factor) > 0)) {
			throw new DecodeError('target-load: expected a factor');
		}

		return factor === undefined ? undefined : Number(factor);
	}

	override parseParentAttemptId(attemptId: string): string | undefined {
		const dot = attemptId.lastIndexOf('.');
		return dot === -1 ? undefined : attemptId.slice(0, dot);
	}
}
