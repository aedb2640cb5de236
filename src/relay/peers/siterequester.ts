import {type FrameChannel, FrameTag} from './frame.js';

/** How long a peer may take to send the configuration that it offered before another is asked, in ms. */
const SITE_REQUEST_TIMEOUT_MS = 300;

/** A peer that has a newer configuration, and its version. */
export type SiteOffer = {readonly channel: FrameChannel; readonly version: number};

/** Requests a newer configuration from the peers that offer it: from one at a time, as a configuration may be large. */
export class SiteRequester {
	readonly #siteVersion: () => number;
	#offers: SiteOffer[] = [];
	#timer: NodeJS.Timeout | undefined;

	/** @param siteVersion returns the version of the configuration in force */
	constructor(siteVersion: () => number) {
		this.#siteVersion = siteVersion;
	}

	request(offer: SiteOffer): void {
		this.#offers.push(offer);
		if (this.#timer === undefined) {
			this.#askNext();
		}
	}

	/** Ends the wait for the peer that was asked, as a configuration has arrived. */
	onArrived(): void {
		if (this.#timer !== undefined) {
			clearTimeout(this.#timer);
			this.#askNext();
		}
	}

	close(): void {
		clearTimeout(this.#timer);
	}

	#askNext(): void {
		this.#timer = undefined;
		this.#offers = this.#offers.filter(({version}) => version > this.#siteVersion());
		const offer = this.#offers.shift();
		if (offer === undefined) {
			return;
		}

		offer.channel.send([FrameTag.siteRequest]);
		this.#timer = setTimeout(() => {
			this.#askNext();
		}, SITE_REQUEST_TIMEOUT_MS);
	}
}
