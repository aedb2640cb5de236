import {type Route, RouteTable} from './route.js';

/** What clients may send, and how long they may take. */
export type ClientLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** What the operator says of one service. */
export type ServiceSpec = {readonly name: string; readonly maxConnections: number; readonly healthPath: string};

/** One version of the operator's configuration. */
export type SiteSpec = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceSpec[];
	readonly limits: ClientLimits;
};

/** A configuration in force, indexed for the path of a request. */
export class Site {
	/** The store's revision of this configuration; a higher one is newer. */
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
