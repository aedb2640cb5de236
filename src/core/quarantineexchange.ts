import {type CoreContext} from './corecontext.js';
import {type Frame} from './frame.js';
import {type Gossip} from './gossip.js';
import {type Links} from './links.js';
import {type Quarantine, type QuarantineNews} from './quarantine/index.js';

type Parts = {
	readonly coreContext: CoreContext;
	readonly quarantine: Quarantine;
	readonly gossip: Gossip;
	readonly links: Links;
};

/** Spreads over the mesh which requests were in flight at crashes, which had no part in them, and which are held. */
export class QuarantineExchange {
	readonly #parts: Parts;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Tells the others what this daemon has concluded. */
	tell(news: QuarantineNews): void {
		this.#parts.gossip.flood({type: 'quarantine', ...news});
	}

	/** Takes in what a peer tells, and passes on what is new of it. */
	onFrame(peer: string, {crashes, survivals, holds}: Extract<Frame, {type: 'quarantine'}>): void {
		const {quarantine, coreContext, gossip} = this.#parts;
		const news = quarantine.record({crashes, survivals, holds}, coreContext.nowMs);
		for (const {request, isHeld, strikes, leftMs} of news.holds) {
			coreContext.log(isHeld ? 'hold_heard' : 'hold_lifted', {fingerprint: request, strikes, leftMs});
		}

		if (news.crashes.length + news.survivals.length + news.holds.length > 0) {
			gossip.flood({type: 'quarantine', ...news}, peer);
		}
	}

	/** Tells a peer all that is remembered, as it may have just started or been cut off. */
	onLinkUp(peer: string): void {
		const {quarantine, coreContext, links} = this.#parts;
		if (!quarantine.isIdle) {
			links.sendIfUp(peer, {type: 'quarantine', ...quarantine.describe(coreContext.nowMs)});
		}
	}
}
