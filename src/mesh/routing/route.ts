/** Whether a request may run more than once: a `safe` one may, an `unsafe` one runs at most once for each client attempt. */
export type Repeatability = 'safe' | 'unsafe';

/** One service that a route's requests go to, and its weight in the traffic split. */
export type Destination = {readonly service: string; readonly weight: number};

/** The operator's settings for one kind of request. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** Maximum number of targets that one client attempt is sent to. */
	readonly attempts: number;
	/** Maximum time that a client attempt waits for its answer, in ms. */
	readonly timeoutMs: number;
	/** Latency objective: an answer within this time counts as good, in ms. */
	readonly objectiveMs: number;
	/** Priority class; 0 is the highest. */
	readonly rank: number;
	readonly destinations: readonly Destination[];
	/** Whether its requests need no API key, also where the site has organisations. */
	readonly isPublic?: boolean;
};

/** Finds the route of a request: the one with the longest matching path prefix among the routes of its host. */
export class RouteTable {
	readonly #hosts = new Map<string, Map<string, Route>>();
	/** The length of the longest prefix; what follows in a path need not be looked at. */
	readonly #prefixLength: number;

	constructor(routes: readonly Route[]) {
		let prefixLength = 0;
		for (const route of routes) {
			const host = normalizeHost(route.host);
			const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#hosts.set(host, prefixes);
			prefixLength = Math.max(prefixLength, route.prefix.length);
		}

		this.#prefixLength = prefixLength;
	}

	/** @param requestTarget path and query of the request */
	match(host: string, requestTarget: string): Route | undefined {
		const prefixes = this.#hosts.get(normalizeHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = requestTarget.indexOf('?');
		const path = requestTarget.slice(0, Math.min(this.#prefixLength, query === -1 ? requestTarget.length : query));
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
