import {type Route, RouteTable} from './route.js';

/** Limits on the size and duration of client requests. */
export type ClientLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The operator's settings for one service. */
export type ServiceSpec = {readonly name: string; readonly maxConnections: number; readonly healthPath: string};

/** One version of the operator's configuration of the site. */
export type SiteSpec = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceSpec[];
	readonly limits: ClientLimits;
};

/** The active configuration, indexed for routing. */
export class Site {
	/** Store revision of this configuration; a higher one is newer. */
	readonly revision: number;
	readonly spec: SiteSpec;
	readonly routeTable: RouteTable;
	readonly services: ReadonlyMap<string, ServiceSpec>;

	constructor(revision: number, spec: SiteSpec) {
		this.revision = revision;
		this.spec = spec;
		this.routeTable = new RouteTable(spec.routes);
		this.services = new Map(spec.services.map(service => [service.name, service]));
	}
}
