import {type OperationSpec, type ServiceSpec, type SiteSpec} from './spec.js';

/** A configured kind of request, with all settings that decisions about it use. */
export type Operation = {
	readonly service: string;
	readonly name: string;
	readonly method: string;
	readonly path: string;
	readonly className: string;
	readonly rank: number;
	readonly idempotent: boolean;
	readonly budgetMs: number;
	/** This service and all services that the operation may call, directly or through others. */
	readonly reachableServices: readonly string[];
};

/** The accepted configuration, indexed for lookups. Immutable. */
export class Catalog {
	readonly site: SiteSpec;
	readonly services: ReadonlyMap<string, ServiceSpec>;
	readonly #operations = new Map<string, Operation[]>();

	constructor(site: SiteSpec, services: ReadonlyMap<string, ServiceSpec>) {
		this.site = site;
		this.services = services;
		const ranks = new Map(site.classes.map(({name, rank}) => [name, rank]));
		for (const [service, spec] of services) {
			const operations = spec.operations.map(operation => ({
				service,
				name: operation.name,
				method: operation.method,
				path: operation.path,
				className: operation.class,
				rank: ranks.get(operation.class) ?? 0,
				idempotent: operation.idempotent,
				budgetMs: operation.budgetMs,
				reachableServices: this.#findReachableServices(service, operation),
			}));
			operations.sort((a, b) => b.path.length - a.path.length);
			this.#operations.set(service, operations);
		}
	}

	/** Returns the operation with the longest path prefix that matches a request, or undefined. */
	findOperation(service: string, method: string, path: string): Operation | undefined {
		return this.#operations.get(service)?.find(operation =>
			(operation.method === '*' || operation.method === method) && path.startsWith(operation.path));
	}

	#findReachableServices(service: string, operation: OperationSpec): string[] {
		const reachable = new Set([service]);
		const remaining = [...operation.calls];
		for (let next = remaining.pop(); next !== undefined; next = remaining.pop()) {
			if (reachable.has(next)) {
				continue;
			}

			reachable.add(next);
			for (const {calls} of this.services.get(next)?.operations ?? []) {
				remaining.push(...calls);
			}
		}

		return [...reachable];
	}
}
