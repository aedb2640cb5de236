import {type Clock, SystemClock, TickClock} from '../clock/index.js';
import {CounterFeed, EventLog, Logger} from '../log/index.js';
import {
	type HostEntry, HostTable, TargetLifecycle, LOAD_BALANCING, LoadBalancer, RetryBudget, LoadShedder, type Site,
} from '../mesh/index.js';
import {type Adapter} from './adapter.js';
import {AnnouncementEndpoint} from './announcementendpoint.js';
import {type Call, type CallHandle, type CallSink} from './call.js';
import {Directory, type DirectoryEvents} from './directory.js';
import {RequestServer} from './requestserver.js';
import {FrameTag} from './frame.js';
import {Links} from './links.js';
import {MetricsEndpoint} from './metricsendpoint.js';
import {TargetMonitor} from './targetmonitor.js';
import {TargetOwner} from './targetowner.js';
import {PeerServer} from './peerserver.js';
import {ReadinessEndpoint} from './readinessendpoint.js';
import {type RelaySettings} from './settings.js';
import {TargetClient} from './targetclient.js';

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
	readonly #placement: LoadBalancer;
	readonly #budget: RetryBudget;
	readonly #shedding: LoadShedder;
	readonly #lifecycle: TargetLifecycle;
	readonly #upstream: TargetClient;
	readonly #owner: TargetOwner;
	readonly #entry: RequestServer;
	readonly #peers: PeerServer;
	readonly #directory: Directory;
	readonly #announcements: AnnouncementEndpoint;
	readonly #readiness: ReadinessEndpoint;
	readonly #metrics: MetricsEndpoint;
	readonly #links: Links;
	readonly #neighbor: TargetMonitor;
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
		this.#placement = new LoadBalancer(settings.failureDomain, LOAD_BALANCING, random);
		this.#budget = new RetryBudget(settings.retry);
		this.#shedding = new LoadShedder(settings.host);
		this.#lifecycle = new TargetLifecycle(settings.drainMs * DRAIN_SHARE);
		this.#upstream = new TargetClient(settings.target, adapter.headers, nowMs);
		this.#owner = new TargetOwner({
			clock, log: this.#log, lifecycle: this.#lifecycle, targetClient: this.#upstream, loadShedder: this.#shedding,
		});
		this.#directory = new Directory({
			adapter, clock, log: this.#log, hosts: this.#hosts, events: this.#directoryEvents(), host: settings.host, random,
		});
		this.#links = new Links({
			host: settings.host,
			clock, log: this.#log, hosts: this.#hosts, loadBalancer: this.#placement, loadShedder: this.#shedding, directory: this.#directory, random,
		});
		this.#neighbor = new TargetMonitor({
			settings: () => this.#settings, adapter, clock, log: this.#log, lifecycle: this.#lifecycle, targetClient: this.#upstream, owner: this.#owner, directory: this.#directory,
		});
		this.#entry = new RequestServer({
			clock,
			log: this.#log,
			names: adapter.headers,
			hosts: this.#hosts,
			loadBalancer: this.#placement,
			retryBudget: this.#budget,
			loadShedder: this.#shedding,
			random,
			send: (entry, call, sink) => this.#send(entry, call, sink),
			site: () => this.#directory.site,
			callerService: () => this.#lifecycle.current?.service ?? this.#settings.service,
			onNestedFailure: attemptId => {
				this.#owner.onNestedFailure(attemptId);
			},
			findParentCall: attemptId => {
				const parent = adapter.parseParentAttemptId(attemptId);
				return parent === undefined ? undefined : this.#owner.findRunningCall(parent);
			},
		});
		this.#peers = new PeerServer({
			owner: this.#owner,
			log: this.#log,
			clock,
			buildHelloFrame: () => this.#links.buildHelloFrame(),
			buildFloorFrame: () => this.#links.buildFloorFrame(),
			onFrame: (frame, reply) => {
				this.#links.handleFrame(frame, reply);
			},
		});
		this.#announcements = new AnnouncementEndpoint(adapter, this.#log, message => {
			this.#neighbor.handleMessage(message);
		});
		this.#metrics = new MetricsEndpoint(this.#log.registry);
		this.#readiness = new ReadinessEndpoint(adapter.readinessPath, () => !this.#isStopping && this.#directory.site !== undefined);
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
	onInvalidSettings(reason: string): void {
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
		this.#log.event('stopping', {open: this.#entry.openRequests, running: this.#owner.running, queued: this.#owner.queued});
		this.#entry.stop();
		// Peers are told no sooner: in a roll the copies that stop one after the other would be missing together.
		setTimeout(() => {
			this.#peers.broadcast([FrameTag.leaving, this.#settings.host]);
			this.#owner.refuseNewCalls();
		}, Math.max(0, this.#settings.lameDuckMs - LAST_CALLS_MS));
		// Clients that don't notice the stop would keep requests open until the end, and have them cut.
		setTimeout(() => {
			this.#entry.drain();
		}, this.#settings.lameDuckMs);
		const endMs = startMs + (this.#settings.graceMs * STOP_SHARE);
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				const nowMs = this.#clock.nowMs();
				const isIdle = this.#entry.openRequests === 0 && this.#owner.running === 0;
				if ((isIdle && nowMs - startMs >= this.#settings.lameDuckMs) || nowMs >= endMs) {
					clearInterval(timer);
					resolve();
				}
			}, STOP_CHECK_MS);
		});
		this.#log.event('stopped', {open: this.#entry.openRequests, running: this.#owner.running, tookMs: Math.round(this.#clock.nowMs() - startMs)});
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
		return entry.host === this.#settings.host ? this.#owner.submit(call, sink) : this.#links.linkTo(entry).call(call, sink);
	}

	#keepHouse(): void {
		this.#directory.removeDeletedHosts();
		this.#budget.setDaemonCount(this.#hosts.size);
		this.#links.redial();
		this.#neighbor.check();
	}

	#directoryEvents(): DirectoryEvents {
		return {
			onSite: (site: Site) => {
				this.#entry.applyLimits(site.spec.limits);
				this.#links.advertiseSite();
			},
			onHost: (entry: HostEntry) => {
				this.#placement.clearMarks(entry.host);
			},
			onHostRemoved: (host: string) => {
				this.#placement.forget(host);
				this.#links.removeHost(host);
			},
		};
	}
}
