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

/** The delay in ms before a peer is asked for its newer configuration, because this daemon's own watch mostly delivers it first. */
const SITE_REQUEST_DELAY_MS = 150;
/** How many daemons, on average, remove an entry that all daemons find to be wrong; more than one, because one may fail. */
const ENTRY_REMOVERS = 3;
/** How many daemons are told of a new configuration; each to which it is new tells as many in turn. */
const SITE_FANOUT = 6;

export type LinksParts = {
	/** The name of this daemon's host. */
	readonly host: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly loadBalancer: LoadBalancer;
	readonly loadShedder: LoadShedder;
	readonly directory: Directory;
	readonly random: () => number;
};

/** Manages the links to other daemons, and the frames besides calls that daemons exchange: configurations, floors and planned stops. */
export class Links extends LinkEvents {
	readonly #parts: LinksParts;
	readonly #links = new Map<string, Link>();
	/** Hosts whose link broke; this daemon reconnects to them so that a restarted daemon receives the configuration. */
	readonly #unreachable: UnreachableHosts;
	readonly #timer: NodeJS.Timeout;

	constructor(parts: LinksParts) {
		super();
		this.#parts = parts;
		this.#unreachable = new UnreachableHosts(parts.random);
		// All links share one timer because each timer wakes the process up.
		this.#timer = setInterval(() => {
			const nowMs = parts.clock.nowMs();
			for (const link of this.#links.values()) {
				link.checkLiveness(nowMs);
			}
		}, PING_INTERVAL_MS);
	}

	linkTo({host, address}: HostEntry): Link {
		const existing = this.#links.get(host);
		if (existing?.address === address) {
			return existing;
		}

		existing?.close('moved');
		const link = new Link(host, address, this, () => this.#parts.clock.nowMs());
		this.#links.set(host, link);
		return link;
	}

	/** Reconnects to unreachable hosts, and removes the store entries of those that stay unreachable. */
	redial(): void {
		const nowMs = this.#parts.clock.nowMs();
		for (const host of this.#unreachable.dueForRemoval(nowMs)) {
			void this.#parts.directory.removeEntry(host);
		}

		for (const host of this.#unreachable.hosts) {
			const entry = this.#parts.hosts.get(host);
			if (entry === undefined) {
				this.#unreachable.delete(host);
			} else {
				// Spares calls from waiting for a host that may still be unreachable.
				this.#parts.loadBalancer.markUnreachable(host, nowMs);
				this.linkTo(entry);
			}
		}
	}

	close(): void {
		clearInterval(this.#timer);
	}

	removeHost(host: string): void {
		this.#unreachable.delete(host);
		this.#links.get(host)?.close('host gone');
	}

	/** Tells some random peers the revision of this daemon's configuration; they tell others if it is new to them. */
	advertiseSite(): void {
		const links = [...this.#links.values()];
		for (let sentCount = 0; sentCount < SITE_FANOUT && links.length > 0; sentCount++) {
			const [link] = links.splice(Math.floor(this.#parts.random() * links.length), 1);
			link.send(this.buildHelloFrame());
		}
	}

	buildHelloFrame(): Frame {
		return [FrameTag.hello, this.#siteRevision, this.#parts.host];
	}

	/** Builds a frame with the floors that this daemon knows, if there are any. */
	buildFloorFrame(): Frame | undefined {
		const reports = this.#parts.loadShedder.reports(this.#parts.clock.nowMs());
		return reports.length > 0 ? buildFloorReportFrame(reports) : undefined;
	}

	/** Handles a frame that belongs to no call, from either side of a link. */
	handleFrame(frame: Frame, reply: (frame: Frame) => void): void {
		const {log, loadBalancer, loadShedder, clock} = this.#parts;
		switch (frame[0]) {
			case FrameTag.hello: {
				this.#onHello(frame[1] as number, reply);
				break;
			}

			case FrameTag.siteRequest: {
				this.#sendSite(reply);
				break;
			}

			case FrameTag.site: {
				this.#onSite(frame);
				break;
			}

			case FrameTag.floors: {
				loadShedder.recordFloorReports(readFloorReports(frame), clock.nowMs());
				break;
			}

			case FrameTag.leaving: {
				log.event('peer_leaving', {host: String(frame[1])});
				loadBalancer.markDraining(String(frame[1]), clock.nowMs());
				break;
			}

			default: {
				log.registry.count('bad_input', {address: 'peers'});
			}
		}
	}

	override onOpen(link: Link): void {
		link.send(this.buildHelloFrame());
		if (this.#unreachable.delete(link.host)) {
			this.#parts.log.event('host_back', {host: link.host});
			this.#parts.loadBalancer.clearMarks(link.host);
		}
	}

	override onFrame(link: Link, frame: Frame): void {
		if (frame[0] === FrameTag.hello && typeof frame[2] === 'string' && frame[2] !== link.host) {
			this.#onHostReplaced(link, frame[2]);
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
			this.#unreachable.add(link.host, this.#parts.clock.nowMs());
		}

		this.#parts.log.event('link_closed', {host: link.host, reason, inFlight: link.inFlight});
	}

	// The address now belongs to another host, so the host that had it no longer exists.
	#onHostReplaced(link: Link, otherHost: string): void {
		const {log, hosts, loadBalancer, directory, clock, random} = this.#parts;
		const revision = hosts.revisionOf(link.host);
		log.event('host_replaced', {host: link.host, by: otherHost, revision: revision ?? 0});
		if (revision !== undefined && random() < ENTRY_REMOVERS / hosts.size) {
			void directory.removeEntry(link.host);
		}

		// The link stays open: the other host refuses the calls in flight, while closing would leave their outcomes unknown.
		hosts.markDeleted(link.host, revision ?? 0, clock.nowMs());
		loadBalancer.markUnreachable(link.host, clock.nowMs());
	}

	get #siteRevision(): number {
		return this.#parts.directory.site?.revision ?? 0;
	}

	#sendSite(reply: (frame: Frame) => void): void {
		const {directory, hosts} = this.#parts;
		if (directory.site !== undefined) {
			reply([FrameTag.site, directory.site.revision, directory.siteValue, hosts.entries]);
		}
	}

	// This daemon's own watch mostly delivers a newer configuration first; the peer is asked only if it doesn't.
	#onHello(revision: number, reply: (frame: Frame) => void): void {
		if (revision <= this.#siteRevision) {
			return;
		}

		setTimeout(() => {
			if (revision > this.#siteRevision) {
				reply([FrameTag.siteRequest]);
			}
		}, this.#siteRevision === 0 ? 0 : SITE_REQUEST_DELAY_MS);
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
