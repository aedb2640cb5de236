import {
	type ConfigObject, type Frame, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {FakeSite, type HostOptions} from '../../fakes/index.js';

const START_MS = 1_800_000_000_000;
const REGIONS = ['north', 'south'];
const DOMAINS_PER_REGION = 4;
const HOSTS_PER_SERVICE = 7.4;
const REGION_DELAY_MS = 20;
const DOMAIN_DELAY_MS = 1;
const TICK_MS = 20;
export const CHANGED_OBJECT = serviceObjectName('s0');

/** Frames that aren't part of a call. */
export function isControl({type}: Frame): boolean {
	return type === 'heartbeat' || type === 'gossip' || type === 'sync';
}

function regionOf(id: string): string {
	return id.split('-')[0];
}

/** A site of daemons without load, spread over two regions and eight failure domains. */
export function siteOf(hosts: number, seed: number): FakeSite {
	const services = Math.max(1, Math.round(hosts / HOSTS_PER_SERVICE));
	const options: HostOptions[] = Array.from({length: hosts}, (_, at) => {
		const region = REGIONS[at % REGIONS.length];
		const domain = `${region}-${Math.floor(at / REGIONS.length) % DOMAINS_PER_REGION}`;
		return {
			id: `${domain}-${at}`,
			region,
			failureDomain: domain,
			service: `s${at % services}`,
			target: {
				slots: 80, connections: 560, meanMs: 10, calls: () => [],
			},
		};
	});
	return new FakeSite({
		seed,
		startMs: START_MS,
		hosts: options,
		config: configOf(services),
		delayMs: (from, to) => (regionOf(from) === regionOf(to) ? DOMAIN_DELAY_MS : REGION_DELAY_MS),
		callerDelayMs: 1,
		tickMs: TICK_MS,
	});
}

function configOf(services: number): ConfigObject[] {
	const site: ConfigObject = {
		name: SITE_OBJECT_NAME,
		generation: 1,
		operationId: 'first',
		spec: {
			classes: [{name: 'low', rank: 0}, {name: 'high', rank: 2}], retryPot: 8, retryRatio: 0.1, resendWindowMs: 120_000, clockSkewMs: 1000, epochMs: 10_000,
		},
	};
	return [site, ...Array.from({length: services}, (_, at) => versionOf(`s${at}`, 1))];
}

/** A version of a service's configuration that names its generation. */
export function versionOf(service: string, generation: number): ConfigObject {
	const operation = (name: string, path: string) => ({
		name, method: 'GET', path, class: 'low', idempotent: true, budgetMs: 1000, calls: [],
	});
	return {
		name: serviceObjectName(service),
		generation,
		operationId: `write ${generation}`,
		spec: {operations: [operation(`generation-${generation}`, '/marker'), operation('get', '/')], queueTargetMs: 50, queueLimitMs: 200},
	};
}
