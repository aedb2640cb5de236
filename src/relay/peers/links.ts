import {type Clock, type RunningClock, afterSockets} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type HostEntry, type HostTable, UnreachableHosts, type LoadBalancer, type LoadShedder,
} from '../../mesh/index.js';
import {type Directory} from '../store/directory.js';
import {
	type Frame, type FrameChannel, FrameTag, buildFloorReportFrame, readFloorReports,
} from './frame.js';
import {Gossip} from './gossip.js';
import {Link, LIVENESS_INTERVAL_MS} from './link.js';
import {LinkEvents} from './linkevents.js';
import {type QuarantineExchange} from './quarantineexchange.js';
import {type ShareExchange} from './shareexchange.js';

/** How many daemons, on average, remove an entry that all daemons find to be wrong; more than one, because one may fail. */
const ENTRY_REMOVERS = 3;

/** How soon the links of the mesh are chosen anew after a host has come or gone, in ms. */
const NEIGHBOR_DELAY_MS = 50;

/** How often floors are passed on to the neighbors while targets turn calls away, in ms: a few steps reach all daemons within half a second. */
const SPREAD_INTERVAL_MS = 80;

/** The most that the running clock counts between two of its ticks, in ms: the usual delay of a timer is within it. */
export const MAX_CLOCK_STEP_MS = 1.25 * LIVENESS_INTERVAL_MS;

/** Why a link is closed whose host has another address now, and is as reachable as before. */
const MOVED = 'moved';

/** The beginning of the error of a connection to a host on which nothing listens. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

export type LinksParts = {
	/** The name of this daemon's host. */
	readonly host: string;
	readonly failureDomain: string;
	readonly clock: Clock;
	/** Ticks with the timer of the links. */
	readonly runningClock: RunningClock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly loadBalancer: LoadBalancer;
	readonly loadShedder: LoadShedder;
	readonly directory: Directory;
	readonly shareExchange: ShareExchange;
	readonly quarantineExchange: QuarantineExchange;
	readonly random: () => number;
};

/** Manages the links to other daemons, and the frames besides calls that daemons exchange: gossip, floors and planned stops. */
export class Links extends LinkEvents {
	readonly #parts: LinksParts;
	readonly #links = new Map<string, Link>();
	/** Links to silent peers on which calls are still in flight; the host may have a new one. */
	readonly #detached = new Set<Link>();
	/** Hosts whose link broke; this daemon reconnects to them so that a restarted daemon receives the configuration. */
	readonly #unreachable: UnreachableHosts;
	/** Hosts that refused the last connection: no daemon runs there. */
	readonly #gone = new Set<string>();
	#watched: ReadonlySet<string> = new Set();
	readonly #gossip: Gossip;
	readonly #timer: NodeJS.Timeout;
	#neighborTimer: NodeJS.Timeout | undefined;
	#spreadTimer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(parts: LinksParts) {
		super();
		this.#parts = parts;
		this.#unreachable = new UnreachableHosts(parts.random);
		this.#gossip = new Gossip({
			host: parts.host,
			failureDomain: parts.failureDomain,
			log: parts.log,
			nowMs: () => parts.clock.nowMs(),
			hosts: parts.hosts,
			directory: parts.directory,
			isUnreachable: host => this.#unreachable.has(host),
			onChannelAdded(channel) {
				const frame = parts.quarantineExchange.buildStateFrame();
				if (frame !== undefined) {
					channel.send(frame);
				}
			},
			onSlowness({host, slowness}) {
				parts.loadBalancer.onSlowness(host, slowness, parts.clock.nowMs());
			},
		});
		// All links share one timer because each timer wakes the process up.
		this.#timer = setInterval(() => {
			parts.runningClock.tick();
			afterSockets(() => {
				this.#checkLinks();
			});
		}, LIVENESS_INTERVAL_MS);
	}

	/** Spreads what daemons learn from the store. */
	get gossip(): Gossip {
		return this.#gossip;
	}

	linkTo({host, address}: HostEntry): Link {
		const existing = this.#links.get(host);
		if (existing?.address === address) {
			return existing;
		}

		existing?.close(MOVED);
		const link = new Link(host, address, this, this.#parts);
		link.isWatched = this.#watched.has(host);
		this.#links.set(host, link);
		return link;
	}

	/** Watches the links to these hosts also while they carry no calls. */
	watch(hosts: ReadonlySet<string>): void {
		this.#watched = hosts;
		for (const link of this.#links.values()) {
			link.isWatched = hosts.has(link.host);
		}
	}

	isUnreachable(host: string): boolean {
		return this.#unreachable.has(host);
	}

	/** Whether the host refused the last connection: it is reachable, and no daemon runs there. */
	isGone(host: string): boolean {
		return this.#gone.has(host);
	}

	/** Keeps links open to the neighbors in the mesh. */
	keepNeighbors(): void {
		if (this.#isClosed) {
			return;
		}

		const {neighbors} = this.#gossip;
		const names = new Set(neighbors.map(({host}) => host));
		for (const entry of neighbors) {
			const link = this.linkTo(entry);
			if (!link.isKept) {
				link.isKept = true;
				if (link.isOpen) {
					this.#subscribe(link);
				}
			}
		}

		// Only once the others are open, so that news always has a way.
		if (neighbors.every(({host}) => this.#links.get(host)?.isOpen === true)) {
			for (const link of this.#links.values()) {
				if (link.isKept && !names.has(link.host)) {
					this.#unsubscribe(link);
				}
			}
		}
	}

	/** Reconnects to unreachable hosts, and removes the store entries of those that stay unreachable. */
	redial(): void {
		const nowMs = this.#parts.clock.nowMs();
		for (const host of this.#unreachable.dueForRemoval(nowMs)) {
			void this.#parts.directory.removeEntry(host);
		}

		for (const host of this.#unreachable.hosts) {
			this.#redialHost(host, nowMs);
		}
	}

	close(): void {
		this.#isClosed = true;
		clearInterval(this.#timer);
		clearTimeout(this.#neighborTimer);
		clearTimeout(this.#spreadTimer);
		this.#gossip.close();
	}

	/** Stops avoiding a host, as news of it shows that it is running. */
	onHostNews(host: string): void {
		this.#onHostsChanged();
		this.#unreachable.delete(host);
		this.#gone.delete(host);
		this.#parts.loadBalancer.clearMarks(host);
	}

	removeHost(host: string): void {
		this.#gone.delete(host);
		this.#onHostsChanged();
		this.#unreachable.delete(host);
		this.#links.get(host)?.close('host gone');
	}

	/** Builds a frame with the floors that this daemon knows, if there are any. */
	buildFloorFrame(): Frame | undefined {
		const reports = this.#parts.loadShedder.reports(this.#parts.clock.nowMs());
		return reports.length > 0 ? buildFloorReportFrame(reports) : undefined;
	}

	/** Handles a frame that belongs to no call, from either side of a link. */
	handleFrame(frame: Frame, channel: FrameChannel): void {
		const {log, loadBalancer, loadShedder, clock} = this.#parts;
		switch (frame[0]) {
			case FrameTag.floors: {
				loadShedder.recordFloorReports(readFloorReports(frame), clock.nowMs());
				this.#spreadFloors();
				break;
			}

			case FrameTag.leaving: {
				log.event('peer_leaving', {host: String(frame[1])});
				loadBalancer.markDraining(String(frame[1]), clock.nowMs());
				break;
			}

			default: {
				const {shareExchange, quarantineExchange} = this.#parts;
				if (![this.#gossip, shareExchange, quarantineExchange].some(receiver => receiver.handleFrame(frame, channel))) {
					log.registry.count('bad_input', {address: 'peers'});
				}
			}
		}
	}

	/** Forgets a link that another daemon has closed. */
	removeChannel(channel: FrameChannel): void {
		this.#gossip.removeChannel(channel);
		this.#parts.shareExchange.removeChannel(channel);
	}

	override onOpen(link: Link): void {
		this.#gone.delete(link.host);
		link.send(this.#gossip.buildHelloFrame());
		if (link.isKept) {
			this.#subscribe(link);
		}

		if (this.#unreachable.delete(link.host)) {
			this.#onHostsChanged();
			this.#parts.log.event('host_back', {host: link.host});
			this.#parts.loadBalancer.clearMarks(link.host);
		}
	}

	override onFrame(link: Link, frame: Frame): void {
		if (frame[0] === FrameTag.hello && typeof frame[2] === 'string' && frame[2] !== link.host) {
			this.#onHostReplaced(link, frame[2]);
			return;
		}

		this.handleFrame(frame, link);
	}

	override onStalled({host, inFlight}: Link, isNew: boolean): void {
		const {log, loadBalancer, clock} = this.#parts;
		if (isNew) {
			log.event('link_stalled', {host, inFlight});
			log.registry.count('link_stalled', {host});
		}

		loadBalancer.markUnreachable(host, clock.nowMs());
	}

	override onResumed({host}: Link): void {
		this.#parts.log.event('link_resumed', {host});
		this.#parts.loadBalancer.markReachable(host);
	}

	override onClosed(link: Link, reason: string): void {
		this.removeChannel(link);
		if (reason.includes(CONNECTION_REFUSED)) {
			this.#gone.add(link.host);
		}

		if (this.#links.get(link.host) === link) {
			this.#links.delete(link.host);
		}

		if (reason !== 'idle' && reason !== MOVED && this.#parts.hosts.get(link.host) !== undefined) {
			this.#unreachable.add(link.host, this.#parts.clock.nowMs());
			this.#onHostsChanged();
		}

		this.#parts.log.event('link_closed', {host: link.host, reason, inFlight: link.inFlight});
	}

	override onDetached(link: Link): void {
		this.#detached.add(link);
		this.onClosed(link, 'silent');
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

	#checkLinks(): void {
		for (const link of [...this.#links.values(), ...this.#detached]) {
			link.checkLiveness();
			if (link.isClosed) {
				this.#detached.delete(link);
			}
		}
	}

	#onHostsChanged(): void {
		this.#gossip.onHostsChanged();
		this.#parts.shareExchange.onHostsChanged();
		this.#neighborTimer ??= setTimeout(() => {
			this.#neighborTimer = undefined;
			this.keepNeighbors();
		}, NEIGHBOR_DELAY_MS);
	}

	// Requests that wait bring no answers that floors could travel with.
	#spreadFloors(): void {
		const {loadShedder, clock} = this.#parts;
		if (this.#spreadTimer !== undefined || this.#isClosed || !loadShedder.hasUnanswered(clock.nowMs())) {
			return;
		}

		this.#spreadTimer = setTimeout(() => {
			this.#spreadTimer = undefined;
			const frame = this.buildFloorFrame();
			if (frame !== undefined) {
				this.#gossip.flood(frame);
			}

			this.#spreadFloors();
		}, SPREAD_INTERVAL_MS);
	}

	#subscribe(link: Link): void {
		link.send([FrameTag.subscribe, true]);
		this.#gossip.addChannel(link);
	}

	#unsubscribe(link: Link): void {
		link.isKept = false;
		link.send([FrameTag.subscribe, false]);
		this.#gossip.removeChannel(link);
	}

	#redialHost(host: string, nowMs: number): void {
		const {hosts, loadBalancer} = this.#parts;
		const entry = hosts.get(host);
		if (entry === undefined) {
			this.#unreachable.delete(host);
			return;
		}

		// Spares calls from waiting for a host that may still be unreachable.
		loadBalancer.markUnreachable(host, nowMs);
		if (this.#unreachable.isDialDue(host, this.#gossip.isPreferredNeighbor(host), hosts.size, nowMs)) {
			this.linkTo(entry);
		}
	}
}
