import {
	type ConfigObject, type Frame, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {FakeSite, type HostOptions} from '../../fakes/index.js';

const START_MS = 1_800_000_000_000;
const REGIONS = ['north', 'south'];
const DOMAINS_PER_REGION = 4;
/** Mean number of hosts of a service. */
const HOSTS_PER_SERVICE = 7.4;
/** Network delay between regions. */
const REGION_DELAY_MS = 20;
/** Network delay within a region. */
const DOMAIN_DELAY_MS = 1;
/** Interval of the daemons' clock ticks. */
const TICK_MS = 20;
/** The configuration object whose change the benchmark measures. */
export const CHANGED_OBJECT = serviceObjectName('s0');

/** Returns whether a frame is a control frame: a heartbeat, or one that exchanges membership or configuration. */
export function isControlFrame({type}: Frame): boolean {
	return type === 'heartbeat' || type === 'gossip' || type === 'sync';
}

function regionOf(id: string): string {
	return id.split('-')[0];
}

/** Creates a site of daemons without load, spread over two regions and eight failure domains. */
export function createSite(hosts: number, seed: number): FakeSite {
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
		config: createConfig(services),
		delayMs: (from, to) => (regionOf(from) === regionOf(to) ? DOMAIN_DELAY_MS : REGION_DELAY_MS),
		callerDelayMs: 1,
		tickMs: TICK_MS,
	});
}

function createConfig(services: number): ConfigObject[] {
	const site: ConfigObject = {
		name: SITE_OBJECT_NAME,
		generation: 1,
		operationId: 'first',
		spec: {
			classes: [{name: 'low', rank: 0}, {name: 'high', rank: 2}], retryPot: 8, retryRatio: 0.1, resendWindowMs: 120_000, clockSkewMs: 1000, epochMs: 10_000,
		},
	};
	return [site, ...Array.from({length: services}, (_, at) => createServiceVersion(`s${at}`, 1))];
}

/** Creates a version of a service's configuration; the name of its first operation contains the generation. */
export function createServiceVersion(service: string, generation: number): ConfigObject {
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
