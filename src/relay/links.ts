import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {
	type HostEntry, type HostTable, UnreachableHosts, type LoadBalancer, type LoadShedder,
} from '../mesh/index.js';
import {type Directory} from './directory.js';
import {
	type Frame, FrameTag, buildFloorReportFrame, readFloorReports,
} from './frame.js';
import {decodeHostEntry} from './hostentry.js';
import {Link, LinkEvents, PING_INTERVAL_MS} from './link.js';

/** A peer's word of a newer configuration waits this long for the own watch, in ms, before the peer is asked. */
const NEWS_PATIENCE_MS = 150;
/** How many daemons of all take out an entry that all see to be wrong: one may fail. */
const COLLECTORS = 3;
/** How many daemons are told of a new configuration; each that didn't know tells as many. */
const NEWS_FANOUT = 6;

export type LinksParts = {
	/** The own host. */
	readonly host: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly loadBalancer: LoadBalancer;
	readonly loadShedder: LoadShedder;
	readonly directory: Directory;
	readonly random: () => number;
};

/** The links to other daemons, and what daemons tell each other besides calls: news, floors, stops. */
export class Links extends LinkEvents {
	readonly #parts: LinksParts;
	readonly #links = new Map<string, Link>();
	/** Hosts whose link broke: dialled so that a daemon that started again hears of the site. */
	readonly #lost: UnreachableHosts;
	readonly #timer: NodeJS.Timeout;

	constructor(parts: LinksParts) {
		super();
		this.#parts = parts;
		this.#lost = new UnreachableHosts(parts.random);
		// One timer for all: each wakes the process up.
		this.#timer = setInterval(() => {
			const nowMs = parts.clock.nowMs();
			for (const link of this.#links.values()) {
				link.checkLiveness(nowMs);
			}
		}, PING_INTERVAL_MS);
	}

	linkTo({host, address}: HostEntry): Link {
		const held = this.#links.get(host);
		if (held?.address === address) {
			return held;
		}

		held?.close('moved');
		const link = new Link(host, address, this, () => this.#parts.clock.nowMs());
		this.#links.set(host, link);
		return link;
	}

	/** Dials the hosts that were lost, and takes out the entries of those that stay away. */
	redial(): void {
		const nowMs = this.#parts.clock.nowMs();
		for (const host of this.#lost.dueForRemoval(nowMs)) {
			void this.#parts.directory.removeEntry(host);
		}

		for (const host of this.#lost.hosts) {
			const entry = this.#parts.hosts.get(host);
			if (entry === undefined) {
				this.#lost.delete(host);
			} else {
				// No call has to find out by waiting for it that the host is still away.
				this.#parts.loadBalancer.markUnreachable(host, nowMs);
				this.linkTo(entry);
			}
		}
	}

	close(): void {
		clearInterval(this.#timer);
	}

	removeHost(host: string): void {
		this.#lost.delete(host);
		this.#links.get(host)?.close('host gone');
	}

	/** Tells some daemons what is in force here; they tell others if it is news to them. */
	advertiseSite(): void {
		const links = [...this.#links.values()];
		for (let told = 0; told < NEWS_FANOUT && links.length > 0; told++) {
			const [link] = links.splice(Math.floor(this.#parts.random() * links.length), 1);
			link.send(this.buildHelloFrame());
		}
	}

	buildHelloFrame(): Frame {
		return [FrameTag.hello, this.#revision, this.#parts.host];
	}

	/** What is known of floors, if there is any. */
	buildFloorFrame(): Frame | undefined {
		const reports = this.#parts.loadShedder.reports(this.#parts.clock.nowMs());
		return reports.length > 0 ? buildFloorReportFrame(reports) : undefined;
	}

	/** Takes a frame that belongs to no call, from either side of a link. */
	handleFrame(frame: Frame, reply: (frame: Frame) => void): void {
		const {log, loadBalancer: placement, loadShedder: shedding, clock} = this.#parts;
		switch (frame[0]) {
			case FrameTag.hello: {
				this.#onHello(frame[1] as number, reply);
				break;
			}

			case FrameTag.siteRequest: {
				this.#tellSite(reply);
				break;
			}

			case FrameTag.site: {
				this.#onSite(frame);
				break;
			}

			case FrameTag.floors: {
				shedding.recordFloorReports(readFloorReports(frame), clock.nowMs());
				break;
			}

			case FrameTag.leaving: {
				log.event('peer_leaving', {host: String(frame[1])});
				placement.markDraining(String(frame[1]), clock.nowMs());
				break;
			}

			default: {
				log.registry.count('bad_input', {address: 'peers'});
			}
		}
	}

	override onOpen(link: Link): void {
		link.send(this.buildHelloFrame());
		if (this.#lost.delete(link.host)) {
			this.#parts.log.event('host_back', {host: link.host});
			this.#parts.loadBalancer.clearMarks(link.host);
		}
	}

	override onFrame(link: Link, frame: Frame): void {
		if (frame[0] === FrameTag.hello && typeof frame[2] === 'string' && frame[2] !== link.host) {
			this.#onStranger(link, frame[2]);
			return;
		}

		this.handleFrame(frame, reply => {
			link.send(reply);
		});
	}

	override onClosed(link: Link, reason: string): void {
		if (this.#links.get(link.host) === link) {
			this.#links.delete(link.host);
		}

		if (reason !== 'idle' && this.#parts.hosts.get(link.host) !== undefined) {
			this.#lost.add(link.host, this.#parts.clock.nowMs());
		}

		this.#parts.log.event('link_closed', {host: link.host, reason, inFlight: link.inFlight});
	}

	// The address was given to another host: the one that had it is gone.
	#onStranger(link: Link, stranger: string): void {
		const {log, hosts, loadBalancer: placement, directory, clock, random} = this.#parts;
		const revision = hosts.revisionOf(link.host);
		log.event('host_replaced', {host: link.host, by: stranger, revision: revision ?? 0});
		if (revision !== undefined && random() < COLLECTORS / hosts.size) {
			void directory.removeEntry(link.host);
		}

		// Calls already on the link are refused there; closing it would leave them unknown.
		hosts.markDeleted(link.host, revision ?? 0, clock.nowMs());
		placement.markUnreachable(link.host, clock.nowMs());
	}

	get #revision(): number {
		return this.#parts.directory.site?.revision ?? 0;
	}

	#tellSite(reply: (frame: Frame) => void): void {
		const {directory, hosts} = this.#parts;
		if (directory.site !== undefined) {
			reply([FrameTag.site, directory.site.revision, directory.siteValue, hosts.entries]);
		}
	}

	// The own watch mostly brings the news first; a peer is asked only if it doesn't.
	#onHello(revision: number, reply: (frame: Frame) => void): void {
		if (revision <= this.#revision) {
			return;
		}

		setTimeout(() => {
			if (revision > this.#revision) {
				reply([FrameTag.siteRequest]);
			}
		}, this.#revision === 0 ? 0 : NEWS_PATIENCE_MS);
	}

	#onSite([, revision, value, entries]: Frame): void {
		const {directory, log} = this.#parts;
		log.event('site_from_peer', {revision: revision as number});
		directory.offerSite(revision as number, value);
		for (const entry of Array.isArray(entries) ? entries : []) {
			try {
				directory.offerHost(decodeHostEntry(entry));
			} catch (error) {
				log.warn('host_rejected', {reason: (error as Error).message});
			}
		}
	}
}
