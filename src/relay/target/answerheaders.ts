import {type Buffer} from 'node:buffer';
import {HOP_BY_HOP_HEADERS, endsInChunked, endsInStatusLine} from '../../wire/index.js';
import {type HeaderNames} from '../adapter.js';

/** The headers of a target's answer, read once and in their order; values of a header that is repeated are joined. */
export class AnswerHeaders {
	/** Those that are passed on; names in lower case and values alternate. */
	readonly forwarded: string[] = [];
	/** What the target says of itself, by name. */
	readonly signals: Record<string, string> = {};
	signature: string | undefined;
	load: string | undefined;
	attemptId: string | undefined;
	length: string | undefined;
	isNotRun = false;
	isEncoded = false;
	/** Whether its body says where it ends, whatever the connection does. */
	isChunked = false;

	/** Whether the head holds the beginning of another one. */
	isMerged: boolean;

	constructor(reason: string, rawHeaders: readonly Buffer[], names: HeaderNames) {
		this.isMerged = endsInStatusLine(reason);
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const value = rawHeaders[index + 1].toString('latin1');
			this.isMerged ||= endsInStatusLine(value);
			this.#read(rawHeaders[index].toString('latin1').toLowerCase(), value, names);
		}
	}

	#read(name: string, value: string, names: HeaderNames): void {
		switch (name) {
			case names.signature: {
				this.signature = join(this.signature, value);
				return;
			}

			case names.attemptId: {
				this.attemptId = join(this.attemptId, value);
				return;
			}

			case 'content-length': {
				this.length = join(this.length, value);
				return;
			}

			case names.load: {
				this.load = join(this.load, value);
				return;
			}

			case 'date': {
				return;
			}

			case names.notRun: {
				this.isNotRun = true;
				break;
			}

			case names.rateLimit:
			case names.leaving: {
				this.signals[name] = join(this.signals[name], value);
				break;
			}

			case 'content-encoding': {
				this.isEncoded = true;
				break;
			}

			case 'transfer-encoding': {
				this.isChunked = endsInChunked(value);
				return;
			}

			default: {
				if (HOP_BY_HOP_HEADERS.has(name)) {
					return;
				}
			}
		}

		this.forwarded.push(name, value);
	}
}

function join(before: string | undefined, value: string): string {
	return before === undefined ? value : `${before}, ${value}`;
}
