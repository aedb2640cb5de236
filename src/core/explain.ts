import {type Catalog} from './catalog.js';
import {type LoadReport} from './frame.js';
import {admittedShareOf} from './level.js';
import {type Membership} from './membership.js';
import {type FloorTable} from './floortable.js';
import {type LoadBalancer} from './loadbalancer.js';

/** A question about a request that nobody sends. */
export type ExplainQuery = {readonly service: string; readonly method: string; readonly path: string; readonly key?: string};

/** What would happen to such a request here and now. */
export type Explanation = {
	readonly verdict: 'admitted' | 'partly-admitted' | 'refused';
	readonly reason: string;
	readonly operation?: string;
	readonly className?: string;
	readonly rank?: number;
	readonly idempotent?: boolean;
	/** The level below which roots are refused, and the share of this class above it. */
	readonly floor?: number;
	readonly admittedShare?: number;
	/** The floors of the services that the request may reach. */
	readonly floors?: Readonly<Record<string, number>>;
	/** Where it could go, how loaded each looks from here (the lowest is chosen), and what each says. */
	readonly candidates?: ReadonlyArray<{readonly id: string; readonly usable: boolean; readonly load: number; readonly reported?: LoadReport}>;
	/** Where a first attempt with the key goes. */
	readonly home?: string;
};

type Parts = {readonly catalog: Catalog | undefined; readonly membership: Membership; readonly pressure: FloorTable; readonly router: LoadBalancer; readonly nowMs: number};

export function explainRequest(question: ExplainQuery, parts: Parts): Explanation {
	const {catalog, membership, pressure, router, nowMs} = parts;
	if (catalog === undefined) {
		return {verdict: 'refused', reason: 'no-config'};
	}

	const operation = catalog.operation(question.service, question.method, question.path);
	if (operation === undefined) {
		return {verdict: 'refused', reason: catalog.services.has(question.service) ? 'unknown-operation' : 'unknown-service'};
	}

	const floor = pressure.highestFloorOf(operation.closure, nowMs);
	const admittedShare = admittedShareOf(operation.rank, floor);
	const serving = membership.servingUpstreams(operation.service);
	const candidates = serving.map(member => ({
		id: member.id, usable: router.isUsable(member), load: router.loadOf(member), reported: router.reportOf(member.id),
	}));
	const routable = candidates.some(({usable}) => usable);
	const isOpen = routable && admittedShare > 0;
	return {
		verdict: isOpen ? (admittedShare < 1 ? 'partly-admitted' : 'admitted') : 'refused',
		reason: routable ? (admittedShare < 1 ? 'pressure' : 'none') : (serving.length === 0 ? 'no-upstream' : 'unreachable'),
		operation: operation.name,
		className: operation.className,
		rank: operation.rank,
		idempotent: operation.idempotent,
		floor,
		admittedShare,
		floors: Object.fromEntries(operation.closure.map(service => [service, pressure.floor(service, nowMs)])),
		candidates,
		home: question.key === undefined || operation.idempotent ? undefined : membership.homeUpstream(operation.service, question.key)?.id,
	};
}
