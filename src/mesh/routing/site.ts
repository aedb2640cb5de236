import {type Organisation} from '../organisations/organisation.js';
import {OrganisationTable} from '../organisations/organisationtable.js';
import {RankOrder} from '../organisations/rankorder.js';
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
	/** Absent if requests need no API key. */
	readonly organisations?: readonly Organisation[];
	readonly limits: ClientLimits;
};

/** The active configuration, indexed for routing. */
export class Site {
	/** The store's revision of this configuration. It tells nothing of the order: a store that is restored from an older copy gives it out again. */
	readonly revision: number;
	readonly spec: SiteSpec;
	readonly routeTable: RouteTable;
	readonly services: ReadonlyMap<string, ServiceSpec>;
	/** Undefined if requests need no API key. */
	readonly organisations: OrganisationTable | undefined;

	readonly rankOrder: RankOrder;

	/** The operator's version; a higher one is newer. */
	get version(): number {
		return this.spec.version;
	}

	constructor(revision: number, spec: SiteSpec) {
		this.revision = revision;
		this.spec = spec;
		this.routeTable = new RouteTable(spec.routes);
		this.services = new Map(spec.services.map(service => [service.name, service]));
		this.organisations = spec.organisations && new OrganisationTable(spec.organisations);
		this.rankOrder = new RankOrder(spec);
	}
}
