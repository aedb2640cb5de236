import {type Clock, SystemClock, TickClock} from '../clock/index.js';
import {EventLog, Logger} from '../log/index.js';
import {
	type Announcement, type HostEntry, HostTable, Lifecycle, Placement, RetryBudget, Shedding, type Site,
} from '../mesh/index.js';
import {type Adapter, type TargetMessage} from './adapter.js';
import {Announcements} from './announcements.js';
import {type Call, type CallHandle, type CallSink} from './call.js';
import {Directory, type DirectoryEvents} from './directory.js';
import {Entry} from './entry.js';
import {type Frame, Tag, pressureFrame, reportsOf} from './frame.js';
import {hostEntryOf} from './hostentry.js';
import {Link, type LinkEvents} from './link.js';
import {Owner} from './owner.js';
import {Peers} from './peers.js';
import {Readiness} from './readiness.js';
import {type RelaySettings} from './settings.js';
import {Upstream} from './upstream.js';

/** How long an entry that vanished from the store is still used, in ms: entries that lapsed in an outage are back within it. */
const LAPSE_GRACE_MS = 2000;
const HOUSEKEEPING_MS = 500;
/** A peer's word of a newer configuration waits this long for the own watch, in ms, before the peer is asked. */
const NEWS_PATIENCE_MS = 150;
/** Announcements missed before a target counts as gone. */
const MISSED_ANNOUNCEMENTS = 4;
/** The part of the drain bound within which a leaving target is still given work; the rest is for what is under way. */
const DRAIN_SHARE = 0.6;
/** What crossing to another failure domain costs, in ms of waiting: from the price of bytes between them. */
const CROSSING_MS = 60;
/** The load from which a call is worth sending to another failure domain. */
const FULL_SHARE = 0.6;
/** The part of the grace after which a stopping daemon ends in any case. */
const STOP_SHARE = 0.84;
const STOP_CHECK_MS = 50;
/** How long before the end of its lame-duck time a stopping daemon takes its last calls, in ms: most runs end within it. */
const LAST_CALLS_MS = 600;
/** Health checks of a target that ran before its daemon started; its next announcement comes anyway. */
const MAX_PROBES = 4;
/** The share of its slots that a target is given: some slow down when they are nearly full, and a new connection may hold a slot. */
const SLOT_SHARE = 0.95;

/** One daemon in front of its own target and beside its clients: all tasks of it. */
export class Relay {
	readonly #settings: RelaySettings;
	readonly #clock: Clock;
	readonly #adapter: Adapter;
	readonly #log: EventLog;
	readonly #hosts = new HostTable(LAPSE_GRACE_MS);
	readonly #placement: Placement;
	readonly #budget: RetryBudget;
	readonly #shedding: Shedding;
	readonly #lifecycle: Lifecycle;
	readonly #upstream: Upstream;
	readonly #owner: Owner;
	readonly #entry: Entry;
	readonly #peers: Peers;
	readonly #directory: Directory;
	readonly #announcements: Announcements;
	readonly #readiness: Readiness;
	readonly #links = new Map<string, Link>();
	#timer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#probes = 0;
	/** Hosts whose link broke: they are dialled until they are back, so that a daemon that started again hears of the site. */
	readonly #lost = new Set<string>();

	constructor(settings: RelaySettings, adapter: Adapter, clock: Clock = new TickClock(new SystemClock())) {
		this.#settings = settings;
		this.#clock = clock;
		this.#adapter = adapter;
		this.#log = new EventLog(new Logger(settings.host, 'info'), clock);
		const {random} = Math;
		const nowMs = () => clock.nowMs();
		this.#placement = new Placement(settings.failureDomain, {crossingMs: CROSSING_MS, fullShare: FULL_SHARE}, random);
		this.#budget = new RetryBudget(settings.retry);
		this.#shedding = new Shedding(settings.host);
		this.#lifecycle = new Lifecycle(settings.drainMs * DRAIN_SHARE);
		this.#upstream = new Upstream(settings.target, adapter.headers, nowMs);
		this.#owner = new Owner({
			clock, log: this.#log, lifecycle: this.#lifecycle, upstream: this.#upstream, shedding: this.#shedding,
		});
		this.#directory = new Directory({
			adapter, clock, log: this.#log, hosts: this.#hosts, events: this.#directoryEvents(), host: settings.host, random,
		});
		this.#entry = new Entry({
			clock,
			log: this.#log,
			names: adapter.headers,
			hosts: this.#hosts,
			placement: this.#placement,
			budget: this.#budget,
			shedding: this.#shedding,
			random,
			send: (entry, call, sink) => this.#send(entry, call, sink),
			site: () => this.#directory.site,
			callerService: () => this.#lifecycle.current?.service ?? settings.service,
			onFailedBelow: attemptId => {
				this.#owner.onFailedBelow(attemptId);
			},
			parentOf: attemptId => {
				const parent = adapter.parentOf(attemptId);
				return parent === undefined ? undefined : this.#owner.runningCall(parent);
			},
		});
		this.#peers = new Peers({
			owner: this.#owner,
			log: this.#log,
			clock,
			greeting: () => this.#hello(),
			pressure: () => this.#pressure(),
			onFrame: (frame, reply) => {
				this.#onFrame(frame, reply);
			},
		});
		this.#announcements = new Announcements(adapter, this.#log, message => {
			this.#onTargetMessage(message);
		});
		this.#readiness = new Readiness(adapter.readinessPath, () => !this.#isStopping && this.#directory.site !== undefined);
	}

	async start(): Promise<void> {
		const {listen} = this.#settings;
		await Promise.all([
			this.#entry.listen(listen.requests),
			this.#peers.listen(listen.peers),
			this.#announcements.listen(listen.announcements),
			this.#readiness.listen(listen.readiness),
		]);
		this.#directory.start();
		this.#timer = setInterval(() => {
			this.#keepHouse();
		}, HOUSEKEEPING_MS);
		this.#log.event('started', {host: this.#settings.host, failureDomain: this.#settings.failureDomain, service: this.#settings.service});
	}

	/** Stops without cutting a request: no new work, then the end of what runs, within the grace. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const startMs = this.#clock.nowMs();
		this.#log.event('stopping', {open: this.#entry.open, running: this.#owner.running, queued: this.#owner.queued});
		this.#entry.stop();
		setTimeout(() => {
			this.#owner.stop();
		}, Math.max(0, this.#settings.lameDuckMs - LAST_CALLS_MS));
		this.#peers.broadcast([Tag.leaving, this.#settings.host]);
		const endMs = startMs + (this.#settings.graceMs * STOP_SHARE);
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				const nowMs = this.#clock.nowMs();
				const isIdle = this.#entry.open === 0 && this.#owner.running === 0;
				if ((isIdle && nowMs - startMs >= this.#settings.lameDuckMs) || nowMs >= endMs) {
					clearInterval(timer);
					resolve();
				}
			}, STOP_CHECK_MS);
		});
		this.#log.event('stopped', {open: this.#entry.open, running: this.#owner.running, tookMs: Math.round(this.#clock.nowMs() - startMs)});
		this.#entry.close();
		this.#announcements.close();
		this.#readiness.close();
		this.#peers.close();
		clearInterval(this.#timer);
		await this.#directory.close();
	}

	#send(entry: HostEntry, call: Call, sink: CallSink): CallHandle {
		return entry.host === this.#settings.host ? this.#owner.offer(call, sink) : this.#linkTo(entry).call(call, sink);
	}

	#linkTo({host, address}: HostEntry): Link {
		const held = this.#links.get(host);
		if (held?.address === address) {
			return held;
		}

		held?.close('moved');
		const link = new Link(host, address, this.#linkEvents(), () => this.#clock.nowMs());
		this.#links.set(host, link);
		return link;
	}

	#linkEvents(): LinkEvents {
		return {
			onOpen: link => {
				link.send(this.#hello());
				if (this.#lost.delete(link.host)) {
					this.#log.event('host_back', {host: link.host});
					this.#placement.clear(link.host);
				}
			},
			onFrame: (link, frame) => {
				this.#onFrame(frame, reply => {
					link.send(reply);
				});
			},
			onClosed: (link, reason) => {
				if (this.#links.get(link.host) === link) {
					this.#links.delete(link.host);
				}

				if (reason !== 'idle' && this.#hosts.get(link.host) !== undefined) {
					this.#lost.add(link.host);
				}

				this.#log.event('link_closed', {host: link.host, reason, inFlight: link.inFlight});
			},
		};
	}

	#hello(): Frame {
		return [Tag.hello, this.#directory.site?.revision ?? 0];
	}

	#onFrame(frame: Frame, reply: (frame: Frame) => void): void {
		switch (frame[0]) {
			case Tag.hello: {
				this.#onHello(frame[1] as number, reply);
				break;
			}

			case Tag.news: {
				const {site, siteValue} = this.#directory;
				if (site !== undefined) {
					reply([Tag.site, site.revision, siteValue, this.#hosts.entries]);
				}

				break;
			}

			case Tag.site: {
				this.#onSiteOfPeer(frame);
				break;
			}

			case Tag.pressure: {
				this.#shedding.onReports(reportsOf(frame), this.#clock.nowMs());
				break;
			}

			case Tag.leaving: {
				this.#log.event('peer_leaving', {host: String(frame[1])});
				this.#placement.onLeaving(String(frame[1]), this.#clock.nowMs());
				break;
			}

			default: {
				this.#log.count('bad_input', 'peers');
			}
		}
	}

	#pressure(): Frame | undefined {
		const reports = this.#shedding.reports(this.#clock.nowMs());
		return reports.length > 0 ? pressureFrame(reports) : undefined;
	}

	// The own watch mostly brings the news first; a peer is asked only if it doesn't.
	#onHello(revision: number, reply: (frame: Frame) => void): void {
		if (revision <= (this.#directory.site?.revision ?? 0)) {
			return;
		}

		setTimeout(() => {
			if (revision > (this.#directory.site?.revision ?? 0)) {
				reply([Tag.news]);
			}
		}, this.#directory.site === undefined ? 0 : NEWS_PATIENCE_MS);
	}

	#onSiteOfPeer([, revision, value, entries]: Frame): void {
		this.#log.event('site_from_peer', {revision: revision as number});
		this.#directory.offerSite(revision as number, value);
		for (const entry of Array.isArray(entries) ? entries : []) {
			try {
				this.#directory.offerHost(hostEntryOf(entry));
			} catch (error) {
				this.#log.warn('host_rejected', {reason: (error as Error).message});
			}
		}
	}

	#onTargetMessage(message: TargetMessage): void {
		const nowMs = this.#clock.nowMs();
		if (message.type === 'farewell') {
			const change = this.#lifecycle.leave(message.farewell, nowMs);
			this.#log.event('target_farewell', {instance: message.farewell.id, bornMs: message.farewell.bornMs ?? 0, change});
			if (change === 'left') {
				this.#publish();
			}

			return;
		}

		const {announcement} = message;
		const services = this.#directory.site?.services;
		if (announcement.service !== this.#settings.service && services?.has(announcement.service) !== true) {
			this.#log.warn('announcement_foreign', {instance: announcement.id, service: announcement.service});
			return;
		}

		const change = this.#lifecycle.announce(announcement, nowMs);
		if (change !== 'none') {
			this.#log.event('target_announced', {
				instance: announcement.id, bornMs: announcement.bornMs, seq: announcement.seq, state: announcement.state, change,
			});
			this.#onTargetChanged(change === 'joined', announcement);
		}
	}

	#onTargetChanged(isOther: boolean, {slots}: Announcement): void {
		if (isOther) {
			this.#upstream.drop();
		}

		this.#owner.limit = Math.max(1, Math.floor(slots * SLOT_SHARE));
		this.#publish();
	}

	#publish(): void {
		const {host, failureDomain, listen} = this.#settings;
		const address = `${listen.peers.ip}:${listen.peers.port}`;
		const {current, isLeaving} = this.#lifecycle;
		if (current === undefined) {
			this.#directory.publish({host, failureDomain, address});
			return;
		}

		const {id, service, slots} = current;
		this.#directory.publish({
			host, failureDomain, address, target: {
				id, service, slots, state: isLeaving ? 'draining' : 'ready',
			},
		});
	}

	#keepHouse(): void {
		this.#directory.expire();
		this.#budget.share(this.#hosts.size);
		for (const host of this.#lost) {
			const entry = this.#hosts.get(host);
			if (entry === undefined) {
				this.#lost.delete(host);
			} else {
				this.#linkTo(entry);
			}
		}

		const {current, heardMs} = this.#lifecycle;
		if (current === undefined && !this.#settings.isFirstStart && this.#probes < MAX_PROBES) {
			void this.#probe();
		}

		if (current !== undefined && this.#clock.nowMs() - heardMs > this.#settings.announceIntervalMs * MISSED_ANNOUNCEMENTS) {
			this.#log.warn('target_silent', {instance: current.id, silentMs: Math.round(this.#clock.nowMs() - heardMs)});
			this.#lifecycle.forget();
			this.#owner.onTargetGone();
			this.#publish();
		}
	}

	// A target that runs on beside a daemon that has just started announces itself only after a while.
	async #probe(): Promise<void> {
		const {service, failureDomain, target} = this.#settings;
		const path = this.#directory.site?.services.get(service)?.healthPath;
		if (path === undefined) {
			return;
		}

		this.#probes++;
		try {
			const answer = await this.#upstream.probe(path);
			const slots = answer === undefined ? undefined : this.#adapter.slotsOf(answer.load);
			this.#log.event('target_probed', {instance: answer?.id ?? '', slots: slots ?? 0});
			if (answer !== undefined && slots !== undefined && this.#lifecycle.current === undefined) {
				// Born before anything that it will announce.
				this.#onTargetMessage({
					type: 'announcement',
					announcement: {
						id: answer.id, bornMs: 0, seq: 0, service, failureDomain, address: `${target.ip}:${target.port}`, slots, state: 'ready', warmUpLeftMs: 0,
					},
				});
			}
		} catch (error) {
			this.#log.event('target_unprobed', {reason: (error as Error).message});
		}
	}

	#directoryEvents(): DirectoryEvents {
		return {
			onSite: (site: Site) => {
				this.#entry.limit(site.spec.limits);
				for (const link of this.#links.values()) {
					link.send(this.#hello());
				}

				this.#peers.broadcast(this.#hello());
			},
			onHost: (entry: HostEntry) => {
				this.#placement.clear(entry.host);
			},
			onHostGone: (host: string) => {
				this.#placement.forget(host);
				this.#links.get(host)?.close('host gone');
			},
		};
	}
}
