/** Writes what a case sends, gets answered and sees run, one line each, to `record.txt` in the folder of the case. */
import {writeFileSync, appendFileSync} from 'node:fs';
import path from 'node:path';

export class Record {
	#file;
	#startMs = performance.now();

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, '');
	}

	/** @param what the kind of the line, such as `sent`, `answered` or `ran` */
	write(what, fields = {}) {
		const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
		appendFileSync(this.#file, `${((performance.now() - this.#startMs) / 1000).toFixed(3)} ${what} ${text}\n`);
	}
}
