import {type Clock, SystemClock, TickClock} from '../clock/index.js';
import {CounterFeed, EventLog, Logger} from '../log/index.js';
import {
	type HostEntry, HostTable, Lifecycle, PLACEMENT, Placement, RetryBudget, Shedding, type Site,
} from '../mesh/index.js';
import {type Adapter} from './adapter.js';
import {Announcements} from './announcements.js';
import {type Call, type CallHandle, type CallSink} from './call.js';
import {Directory, type DirectoryEvents} from './directory.js';
import {Entry} from './entry.js';
import {Tag} from './frame.js';
import {Links} from './links.js';
import {MetricsPage} from './metricspage.js';
import {Neighbor} from './neighbor.js';
import {Owner} from './owner.js';
import {Peers} from './peers.js';
import {Readiness} from './readiness.js';
import {type RelaySettings} from './settings.js';
import {Upstream} from './upstream.js';

/** How long an entry that vanished from the store is still used, in ms: entries that lapsed in an outage are back within it. */
const LAPSE_GRACE_MS = 2000;
const HOUSEKEEPING_MS = 500;
/** The part of the drain bound within which a leaving target is still given work; the rest is for what is under way. */
const DRAIN_SHARE = 0.6;
/** The part of the grace after which a stopping daemon ends in any case. */
const STOP_SHARE = 0.84;
const STOP_CHECK_MS = 50;
/** How long before the end of its lame-duck time a stopping daemon takes its last calls, in ms: most runs end within it. */
const LAST_CALLS_MS = 600;

/** What a test puts in place of the host's. */
export type RelayOptions = {
	readonly clock?: Clock;
	/** Takes the log's lines. */
	readonly write?: (line: string) => void;
};

/** One daemon in front of its own target and beside its clients: all tasks of it. */
export class Relay {
	#settings: RelaySettings;
	readonly #clock: Clock;
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
	readonly #metrics: MetricsPage;
	readonly #links: Links;
	readonly #neighbor: Neighbor;
	#feed: CounterFeed | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	constructor(settings: RelaySettings, adapter: Adapter, {clock = new TickClock(new SystemClock()), write}: RelayOptions = {}) {
		this.#settings = settings;
		this.#clock = clock;
		this.#log = new EventLog(new Logger(settings.host, 'info', write), clock);
		const {random} = Math;
		const nowMs = () => clock.nowMs();
		this.#placement = new Placement(settings.failureDomain, PLACEMENT, random);
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
		this.#links = new Links({
			host: settings.host,
			clock, log: this.#log, hosts: this.#hosts, placement: this.#placement, shedding: this.#shedding, directory: this.#directory, random,
		});
		this.#neighbor = new Neighbor({
			settings: () => this.#settings, adapter, clock, log: this.#log, lifecycle: this.#lifecycle, upstream: this.#upstream, owner: this.#owner, directory: this.#directory,
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
			callerService: () => this.#lifecycle.current?.service ?? this.#settings.service,
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
			greeting: () => this.#links.hello(),
			pressure: () => this.#links.pressure(),
			onFrame: (frame, reply) => {
				this.#links.take(frame, reply);
			},
		});
		this.#announcements = new Announcements(adapter, this.#log, message => {
			this.#neighbor.take(message);
		});
		this.#metrics = new MetricsPage(this.#log.registry);
		this.#readiness = new Readiness(adapter.readinessPath, () => !this.#isStopping && this.#directory.site !== undefined);
	}

	async start(): Promise<void> {
		const {listen} = this.#settings;
		await Promise.all([
			this.#entry.listen(listen.requests),
			this.#peers.listen(listen.peers),
			this.#announcements.listen(listen.announcements),
			this.#readiness.listen(listen.readiness),
			listen.metrics === undefined ? undefined : this.#metrics.listen(listen.metrics),
		]);
		this.#directory.start();
		const {statsd, host} = this.#settings;
		this.#feed = statsd === undefined ? undefined : new CounterFeed(statsd, host, () => ({counters: this.#log.registry.counters()}));
		this.#timer = setInterval(() => {
			this.#keepHouse();
		}, HOUSEKEEPING_MS);
		this.#log.event('started', {host: this.#settings.host, failureDomain: this.#settings.failureDomain, service: this.#settings.service});
	}

	/** Takes changed settings in. Addresses stay what they were: other parties were told of them. */
	reload(settings: RelaySettings): void {
		this.#log.event('reloaded', {service: settings.service, before: this.#settings.service});
		this.#settings = {...this.#settings, service: settings.service, seeds: settings.seeds};
	}

	/** Changed settings can't be read: the ones before stay in force. */
	onSettingsFault(reason: string): void {
		this.#log.warn('settings_rejected', {reason});
	}

	/** Stops without cutting a request: no new work, then the end of what runs, within the grace. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stop();
		return this.#stopped;
	}

	async #stop(): Promise<void> {
		this.#isStopping = true;
		const startMs = this.#clock.nowMs();
		this.#log.event('stopping', {open: this.#entry.open, running: this.#owner.running, queued: this.#owner.queued});
		this.#entry.stop();
		// Peers are told no sooner: in a roll the copies that stop one after the other would be missing together.
		setTimeout(() => {
			this.#peers.broadcast([Tag.leaving, this.#settings.host]);
			this.#owner.stop();
		}, Math.max(0, this.#settings.lameDuckMs - LAST_CALLS_MS));
		// Clients that don't notice the stop would keep requests open until the end, and have them cut.
		setTimeout(() => {
			this.#entry.drain();
		}, this.#settings.lameDuckMs);
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
		this.#metrics.close();
		this.#peers.close();
		this.#links.close();
		clearInterval(this.#timer);
		await this.#feed?.close();
		await this.#directory.close();
	}

	#send(entry: HostEntry, call: Call, sink: CallSink): CallHandle {
		return entry.host === this.#settings.host ? this.#owner.offer(call, sink) : this.#links.to(entry).call(call, sink);
	}

	#keepHouse(): void {
		this.#directory.expire();
		this.#budget.share(this.#hosts.size);
		this.#links.redial();
		this.#neighbor.check();
	}

	#directoryEvents(): DirectoryEvents {
		return {
			onSite: (site: Site) => {
				this.#entry.limit(site.spec.limits);
				this.#links.spreadNews();
			},
			onHost: (entry: HostEntry) => {
				this.#placement.clear(entry.host);
			},
			onHostGone: (host: string) => {
				this.#placement.forget(host);
				this.#links.forget(host);
			},
		};
	}
}
