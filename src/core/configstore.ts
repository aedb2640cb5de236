import murmurhash from 'murmurhash';
import {Catalog} from './catalog.js';
import {type ConfigObject, type ServiceSpec, type SiteSpec} from './spec.js';

export const SITE_OBJECT_NAME = 'site';
const SERVICE_PREFIX = 'service/';

/** The object name of a service's configuration. */
export function serviceObjectName(service: string): string {
	return SERVICE_PREFIX + service;
}

/** What came of offering an object: only `accepted` changes what is in force. */
export type ConfigAcceptance = 'accepted' | 'known' | 'older' | 'conflicting';

/**
 * The configuration in force. An object is replaced only by one of a higher
 * generation, so no peer and no platform answer can bring an older one back.
 */
export class ConfigStore {
	readonly #objects = new Map<string, ConfigObject>();
	#catalog: Catalog | undefined;
	#digest = 0;

	get catalog(): Catalog | undefined {
		return this.#catalog;
	}

	/** Equal on two daemons exactly when both hold the same generations, up to a hash collision. */
	get digest(): number {
		return this.#digest;
	}

	get objects(): ReadonlyMap<string, ConfigObject> {
		return this.#objects;
	}

	generationOf(name: string): number {
		return this.#objects.get(name)?.generation ?? 0;
	}

	accept(object: ConfigObject): ConfigAcceptance {
		const held = this.#objects.get(object.name);
		if (held !== undefined && held.generation >= object.generation) {
			if (held.generation > object.generation) {
				return 'older';
			}

			return held.operationId === object.operationId ? 'known' : 'conflicting';
		}

		if (held !== undefined) {
			this.#digest ^= digestOf(held);
		}

		this.#digest ^= digestOf(object);
		this.#objects.set(object.name, object);
		this.#compile();
		return 'accepted';
	}

	#compile(): void {
		const site = this.#objects.get(SITE_OBJECT_NAME)?.spec as SiteSpec | undefined;
		if (site === undefined) {
			return;
		}

		const services = new Map<string, ServiceSpec>();
		for (const [name, {spec}] of this.#objects) {
			if (name.startsWith(SERVICE_PREFIX) && spec !== undefined) {
				services.set(name.slice(SERVICE_PREFIX.length), spec as ServiceSpec);
			}
		}

		this.#catalog = new Catalog(site, services);
	}
}

function digestOf({name, generation}: ConfigObject): number {
	return murmurhash.v3(`${name}@${generation}`);
}
