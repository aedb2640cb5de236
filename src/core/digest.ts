import murmurhash from 'murmurhash';

/**
 * A hash of a set of versioned records. It is equal on two daemons that hold
 * the same records, in whatever order these arrived, except for hash collisions.
 */
export class Digest {
	#value = 0;

	get value(): number {
		return this.#value;
	}

	/** Adds a record to the set, or removes it if it is in the set. */
	toggle(name: string, version: string | number): void {
		this.#value ^= murmurhash.v3(`${name}@${version}`);
	}
}
