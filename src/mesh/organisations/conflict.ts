import {type Organisation} from './organisation.js';

/** Describes what two organisations can't both have, a name or a key, without the key itself; undefined if there is nothing of the kind. */
export function findConflict(organisations: readonly Organisation[]): string | undefined {
	const names = new Set<string>();
	const holders = new Map<string, string>();
	for (const {name, keys} of organisations) {
		if (names.has(name)) {
			return `the name ${name} stands twice`;
		}

		names.add(name);
		for (const key of keys) {
			const holder = holders.get(key) ?? name;
			if (holder !== name) {
				return `a key is held by ${holder} and ${name}`;
			}

			holders.set(key, name);
		}
	}

	return undefined;
}
