import {Catalog} from './catalog.js';
import {Digest} from './digest.js';
import {type ConfigObject, type ServiceSpec, type SiteSpec} from './spec.js';

export const SITE_OBJECT_NAME = 'site';
const SERVICE_OBJECT_PREFIX = 'service/';

/** Returns the name of the object that configures a service. */
export function serviceObjectName(service: string): string {
	return SERVICE_OBJECT_PREFIX + service;
}

/** The outcome of offering an object; only `accepted` changes the configuration in force. */
export type ConfigAcceptance = 'accepted' | 'known' | 'older' | 'conflicting';

/**
 * The configuration in force. Only an object of a higher generation replaces
 * another, so neither a peer nor the platform can bring back an older one.
 */
export class ConfigStore {
	readonly #objects = new Map<string, ConfigObject>();
	#catalog: Catalog | undefined;
	readonly #digest = new Digest();

	get catalog(): Catalog | undefined {
		return this.#catalog;
	}

	/** A hash that is equal on two daemons exactly when both hold the same generations, except for hash collisions. */
	get digest(): number {
		return this.#digest.value;
	}

	get objects(): ReadonlyMap<string, ConfigObject> {
		return this.#objects;
	}

	generationOf(name: string): number {
		return this.#objects.get(name)?.generation ?? 0;
	}

	accept(object: ConfigObject): ConfigAcceptance {
		const current = this.#objects.get(object.name);
		if (current !== undefined && current.generation >= object.generation) {
			if (current.generation > object.generation) {
				return 'older';
			}

			return current.operationId === object.operationId ? 'known' : 'conflicting';
		}

		if (current !== undefined) {
			this.#digest.toggle(current.name, current.generation);
		}

		this.#digest.toggle(object.name, object.generation);
		this.#objects.set(object.name, object);
		this.#rebuildCatalog();
		return 'accepted';
	}

	#rebuildCatalog(): void {
		const site = this.#objects.get(SITE_OBJECT_NAME)?.spec as SiteSpec | undefined;
		if (site === undefined) {
			return;
		}

		const services = new Map<string, ServiceSpec>();
		for (const [name, {spec}] of this.#objects) {
			if (name.startsWith(SERVICE_OBJECT_PREFIX) && spec !== undefined) {
				services.set(name.slice(SERVICE_OBJECT_PREFIX.length), spec as ServiceSpec);
			}
		}

		this.#catalog = new Catalog(site, services);
	}
}
