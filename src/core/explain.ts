import {type Catalog} from './catalog.js';
import {type LoadReport} from './frame.js';
import {admittedShareOf} from './level.js';
import {type Membership} from './membership.js';
import {type FloorTable} from './floortable.js';
import {type LoadBalancer} from './loadbalancer.js';

/** A hypothetical request to explain; it is never sent. */
export type ExplainQuery = {readonly service: string; readonly method: string; readonly path: string; readonly key?: string};

/** What would happen to such a request on this daemon at present. */
export type Explanation = {
	readonly verdict: 'admitted' | 'partly-admitted' | 'refused';
	readonly reason: string;
	readonly operation?: string;
	readonly className?: string;
	readonly rank?: number;
	readonly idempotent?: boolean;
	/** The priority level below which root requests are refused, and the share of this class that is admitted. */
	readonly floor?: number;
	readonly admittedShare?: number;
	/** The floors of all services that the request may reach. */
	readonly floors?: Readonly<Record<string, number>>;
	/** The upstreams of the service, with their load as seen from here (the lowest is chosen) and as they reported it. */
	readonly candidates?: ReadonlyArray<{readonly id: string; readonly usable: boolean; readonly load: number; readonly reported?: LoadReport}>;
	/** The upstream that receives the first attempt with the key. */
	readonly home?: string;
};

type Parts = {readonly catalog: Catalog | undefined; readonly membership: Membership; readonly floorTable: FloorTable; readonly loadBalancer: LoadBalancer; readonly nowMs: number};

export function explainRequest(query: ExplainQuery, parts: Parts): Explanation {
	const {catalog, membership, floorTable, loadBalancer, nowMs} = parts;
	if (catalog === undefined) {
		return {verdict: 'refused', reason: 'no-config'};
	}

	const operation = catalog.findOperation(query.service, query.method, query.path);
	if (operation === undefined) {
		return {verdict: 'refused', reason: catalog.services.has(query.service) ? 'unknown-operation' : 'unknown-service'};
	}

	const floor = floorTable.highestFloorOf(operation.reachableServices, nowMs);
	const admittedShare = admittedShareOf(operation.rank, floor);
	const serving = membership.servingUpstreams(operation.service);
	const candidates = serving.map(member => ({
		id: member.id, usable: loadBalancer.isUsable(member), load: loadBalancer.loadOf(member), reported: loadBalancer.reportOf(member.id),
	}));
	const isRoutable = candidates.some(({usable}) => usable);
	const isAdmitted = isRoutable && admittedShare > 0;
	return {
		verdict: isAdmitted ? (admittedShare < 1 ? 'partly-admitted' : 'admitted') : 'refused',
		reason: isRoutable ? (admittedShare < 1 ? 'pressure' : 'none') : (serving.length === 0 ? 'no-upstream' : 'unreachable'),
		operation: operation.name,
		className: operation.className,
		rank: operation.rank,
		idempotent: operation.idempotent,
		floor,
		admittedShare,
		floors: Object.fromEntries(operation.reachableServices.map(service => [service, floorTable.meanFloorOf(service, nowMs)])),
		candidates,
		home: query.key === undefined || operation.idempotent ? undefined : membership.homeUpstream(operation.service, query.key)?.id,
	};
}
