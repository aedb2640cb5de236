/** Whether a request may run more than once: `safe` may, `unsafe` runs at most once for each client attempt. */
export type Repeatability = 'safe' | 'unsafe';

/** One service that a route's requests go to, with its share. */
export type Destination = {readonly service: string; readonly weight: number};

/** What the operator says of one kind of request. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** The most targets that one client attempt may be sent to. */
	readonly attempts: number;
	/** How long a client attempt may be kept waiting, in ms. */
	readonly timeoutMs: number;
	/** The time within which an answer earns its full credit, in ms. */
	readonly objectiveMs: number;
	/** 0 is the highest. */
	readonly rank: number;
	readonly destinations: readonly Destination[];
};

/** Finds the route of a request: the longest prefix among the routes of its host. */
export class RouteTable {
	readonly #hosts = new Map<string, Map<string, Route>>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const host = normalizeHost(route.host);
			const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#hosts.set(host, prefixes);
		}
	}

	/** @param target the request's target, with its query */
	match(host: string, target: string): Route | undefined {
		const prefixes = this.#hosts.get(normalizeHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = target.indexOf('?');
		const path = query === -1 ? target : target.slice(0, query);
		for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route !== undefined || end === 0) {
				return route;
			}
		}

		return undefined;
	}
}

function normalizeHost(host: string): string {
	const port = host.lastIndexOf(':');
	const name = port === -1 || host.endsWith(']') ? host : host.slice(0, port);
	return name.toLowerCase();
}
