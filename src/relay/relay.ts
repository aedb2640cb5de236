import {type Clock, CachedClock, RunningClock} from '../clock/index.js';
import {
	ErrorLimit, EventLog, Logger, StatsdReporter,
} from '../log/index.js';
import {Quarantine} from '../core/index.js';
import {
	BudgetSharing, type HostEntry, type HostRecord, HostTable, TargetLifecycle, LOAD_BALANCING, LoadBalancer, RetryBudget, LoadShedder, type Site, TargetSignalTable, entitlementsOf, quotaLimits,
} from '../mesh/index.js';
import {type Adapter} from './adapter.js';
import {AddressBinder} from './addressbinder.js';
import {AnnouncementEndpoint} from './target/announcementendpoint.js';
import {type Call, type CallHandle, type CallSink} from './call.js';
import {Directory} from './store/directory.js';
import {type DirectoryEvents} from './store/directoryevents.js';
import {QuotaGate} from './clients/quotagate.js';
import {HeldRequests} from './clients/heldrequests.js';
import {RefusalCounts} from './clients/refusalcounts.js';
import {RequestServer} from './clients/requestserver.js';
import {FrameTag} from './peers/frame.js';
import {MAX_CLOCK_STEP_MS, Links} from './peers/links.js';
import {QuarantineExchange} from './peers/quarantineexchange.js';
import {ShareExchange} from './peers/shareexchange.js';
import {MetricsEndpoint} from './operators/metricsendpoint.js';
import {QuarantineReporter} from './operators/quarantinereport.js';
import {RelayReporter} from './operators/relayreport.js';
import {TargetMonitor} from './target/targetmonitor.js';
import {TargetOwner} from './target/targetowner.js';
import {PeerServer} from './peers/peerserver.js';
import {ReadinessEndpoint} from './operators/readinessendpoint.js';
import {type RelaySettings} from './settings.js';
import {TargetClient} from './target/targetclient.js';

/** How long an entry that vanished from the store is still used, in ms: entries that expired during an outage are back within it. */
const MISSING_ENTRY_GRACE_MS = 2000;
const MAINTENANCE_INTERVAL_MS = 500;
/** The fraction of the drain time in which a deregistered target is still given calls; the rest is for calls in flight. */
const DRAIN_SHARE = 0.6;
/** The fraction of the grace period after which a stopping daemon ends even if calls are still open. */
const STOP_SHARE = 0.84;
/** The fraction of the grace period in which the answers that are there by then are written. */
const LAST_ANSWERS_SHARE = 0.05;
/** The fraction of the grace period after which a stopping daemon waits for its peers no longer, and how long it waits for them at most, in ms. */
const CLOSED_SHARE = 0.91;
const CLOSE_LINKS_MS = 1000;
const STOP_CHECK_INTERVAL_MS = 50;
/** How long before the end of the lame-duck period a stopping daemon starts to refuse calls, in ms: most runs end within it. */
const LAST_CALLS_MS = 600;

/** How far requests may go beyond a quota where the operator doesn't say. */
const QUOTA_ROOM = {windowMs: 5000, over: 0.1, slack: 20};

/** Replacements that a test passes for the host's clock and log output. */
export type RelayOptions = {
	readonly clock?: Clock;
	/** Receives the lines of the log. */
	readonly write?: (line: string) => void;
	/** Calls `reload` if the settings have changed. */
	readonly refreshSettings?: () => void;
};

/** One daemon in front of its own target and beside its clients: creates, connects, starts and stops its parts. */
export class Relay {
	#settings: RelaySettings;
	readonly #clock: Clock;
	readonly #log: EventLog;
	readonly #hosts = new HostTable(MISSING_ENTRY_GRACE_MS);
	readonly #loadBalancer: LoadBalancer;
	readonly #retryBudget: RetryBudget;
	readonly #targetSignals: TargetSignalTable;
	readonly #loadShedder: LoadShedder;
	readonly #lifecycle: TargetLifecycle;
	readonly #targetClient: TargetClient;
	readonly #targetOwner: TargetOwner;
	readonly #requestServer: RequestServer;
	readonly #peerServer: PeerServer;
	readonly #directory: Directory;
	readonly #announcementEndpoint: AnnouncementEndpoint;
	readonly #readinessEndpoint: ReadinessEndpoint;
	readonly #metricsEndpoint: MetricsEndpoint;
	readonly #links: Links;
	readonly #quotaGate: QuotaGate;
	readonly #refusalCounts = new RefusalCounts();
	readonly #shareExchange: ShareExchange;
	readonly #quarantine: Quarantine;
	readonly #quarantineExchange: QuarantineExchange;
	readonly #targetMonitor: TargetMonitor;
	readonly #errorLimit = new ErrorLimit();
	readonly #binder: AddressBinder;
	#counterFeed: StatsdReporter | undefined;
	#timer: NodeJS.Timeout | undefined;
	/** Whether all addresses are bound: until then, nothing that a failing start would lose is accepted. */
	#isStarted = false;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	constructor(settings: RelaySettings, adapter: Adapter, {clock = new CachedClock(), write, refreshSettings}: RelayOptions = {}) {
		this.#settings = settings;
		this.#clock = clock;
		this.#log = new EventLog(new Logger(settings.host, 'info', write), clock);
		this.#binder = new AddressBinder(this.#log);
		const {random} = Math;
		const nowMs = () => clock.nowMs();
		const runningClock = new RunningClock(clock, MAX_CLOCK_STEP_MS);
		this.#loadBalancer = new LoadBalancer(settings.failureDomain, LOAD_BALANCING, random);
		const sharing = new BudgetSharing({
			host: settings.host, room: settings.quotaRoom ?? QUOTA_ROOM, random, onLow: () => {
				this.#shareExchange.onLow();
			},
		});
		this.#loadShedder = new LoadShedder(settings.host, settings.heldBytes !== undefined, (...request) => sharing.placeOf(...request));
		this.#retryBudget = new RetryBudget(settings.retry);
		this.#quarantine = new Quarantine(settings.quarantineMs);
		this.#lifecycle = new TargetLifecycle(settings.drainMs * DRAIN_SHARE);
		this.#targetSignals = new TargetSignalTable(settings.drainMs * DRAIN_SHARE);
		this.#targetClient = new TargetClient(settings.target, adapter, nowMs, this.#log);
		this.#targetOwner = new TargetOwner({
			clock, log: this.#log, lifecycle: this.#lifecycle, targetClient: this.#targetClient, target: settings.target, loadShedder: this.#loadShedder,
			onSlowness: slowness => {
				this.#links.gossip.floodSlowness({host: settings.host, slowness, measuredMs: clock.nowMs()});
			},
			onLeaving: (instance, isFirstAnswer) => {
				this.#targetMonitor.handleLeaving(instance, isFirstAnswer);
			},
			decodeMachineLoad: settings.usesMachineLoad === true ? load => adapter.decodeMachineLoad(load) : undefined,
			quarantine: this.#quarantine,
			listTargets: service => this.#hosts.serving(service).map(({target}) => target!),
			parentOf: attemptId => adapter.parseParentAttemptId(attemptId),
			onNews: news => {
				this.#quarantineExchange.tell(news);
			},
			random,
			weightOf: organisation => this.#directory.site?.organisations?.weightOf(organisation) ?? 1,
		});
		this.#directory = new Directory({
			adapter, clock, log: this.#log, hosts: this.#hosts, events: this.#directoryEvents(), host: settings.host,
			configMs: settings.configMs, settlingMs: settings.settlingMs, random, electWatchers: () => this.#links.gossip.watchers,
		});
		this.#quotaGate = new QuotaGate({
			sharing, clock, log: this.#log, random,
		});
		this.#shareExchange = new ShareExchange({
			host: settings.host, failureDomain: settings.failureDomain, clock, log: this.#log, hosts: this.#hosts, sharing, random, links: () => this.#links,
		});
		this.#quarantineExchange = new QuarantineExchange({
			clock, log: this.#log, quarantine: this.#quarantine, flood: (...frame) => {
				this.#links.gossip.flood(...frame);
			},
		});
		this.#links = new Links({
			host: settings.host,
			failureDomain: settings.failureDomain,
			clock, runningClock, log: this.#log, hosts: this.#hosts, loadBalancer: this.#loadBalancer, loadShedder: this.#loadShedder, directory: this.#directory, shareExchange: this.#shareExchange, quarantineExchange: this.#quarantineExchange, random,
		});
		this.#targetMonitor = new TargetMonitor({
			settings: () => this.#settings, refreshSettings: refreshSettings ?? (() => undefined), adapter, clock, runningClock, log: this.#log, lifecycle: this.#lifecycle, targetClient: this.#targetClient, owner: this.#targetOwner, directory: this.#directory,
		});
		this.#requestServer = new RequestServer({
			clock,
			log: this.#log,
			names: adapter.headers,
			hosts: this.#hosts,
			loadBalancer: this.#loadBalancer,
			retryBudget: this.#retryBudget,
			targetSignals: this.#targetSignals,
			loadShedder: this.#loadShedder,
			heldRequests: HeldRequests.create(settings.heldBytes, {
				clock, log: this.#log, hosts: this.#hosts, loadShedder: this.#loadShedder, random,
			}),
			random,
			send: (entry, call, sink) => this.#send(entry, call, sink),
			site: () => this.#isStarted ? this.#directory.site : undefined,
			quotaGate: this.#quotaGate,
			refusalCounts: this.#refusalCounts,
			quarantine: this.#quarantine,
			hasCrashed: ({target}) => target !== undefined && this.#quarantine.hasCrashed(target),
			revocation: settings.revocation,
			confirmationAgeMs: () => this.#directory.confirmationAgeMs,
			isNestedCall: attemptId => adapter.parseParentAttemptId(attemptId) !== undefined,
			callerService: () => this.#settings.service,
			onNestedCall: (attemptId, change) => {
				this.#targetOwner.onNestedCall(attemptId, change);
			},
			onNestedFailure: attemptId => {
				this.#targetOwner.onNestedFailure(attemptId);
			},
			findObjectiveEndMs: attemptId => this.#targetOwner.findObjectiveEndMs(attemptId),
			findParentCall: attemptId => {
				const parentId = adapter.parseParentAttemptId(attemptId);
				return parentId === undefined ? undefined : this.#targetOwner.findRunningCall(parentId);
			},
		});
		this.#peerServer = new PeerServer({
			owner: this.#targetOwner,
			log: this.#log,
			clock,
			buildHelloFrame: () => this.#links.gossip.buildHelloFrame(),
			buildFloorFrame: () => this.#links.buildFloorFrame(),
			onFrame: (frame, channel) => {
				this.#links.handleFrame(frame, channel);
			},
			onClosed: channel => {
				this.#links.removeChannel(channel);
			},
		});
		this.#announcementEndpoint = new AnnouncementEndpoint(adapter, this.#log, async message => this.#targetMonitor.handleMessage(message));
		this.#metricsEndpoint = new MetricsEndpoint(this.#log.registry, new RelayReporter({
			host: settings.host, site: () => this.#directory.site, confirmationAgeMs: () => this.#directory.confirmationAgeMs,
			revocation: settings.revocation, sharing, refusalCounts: this.#refusalCounts, nowMs,
		}), new QuarantineReporter({
			host: settings.host,
			quarantine: this.#quarantine,
			nowMs,
			onNews: news => {
				this.#quarantineExchange.tell(news);
			},
			onLifted: ({request, strikes, subject: {attemptId}}) => {
				this.#log.warn('hold_lifted', {
					fingerprint: request, by: 'operator', strikes, attempt: attemptId,
				});
			},
		}));
		this.#readinessEndpoint = new ReadinessEndpoint(adapter.readinessPath, () => this.#isStarted && !this.#isStopping && this.#directory.site !== undefined);
	}

	/** The number of calls that the target beside this daemon runs. */
	get runningCalls(): number {
		return this.#targetOwner.running;
	}

	/** Resolves once the daemon serves, or is stopped before. @throws when it can't bind an address within the grace period */
	async start(): Promise<void> {
		try {
			await this.#listen();
		} catch (error) {
			if (this.#isStopping) {
				return;
			}

			throw error;
		}

		this.#isStarted = true;
		this.#directory.start();
		const {statsd, host} = this.#settings;
		this.#counterFeed = statsd === undefined ? undefined : new StatsdReporter(statsd, host, () => ({counters: this.#log.registry.counters()}));
		this.#timer = setInterval(() => {
			this.#runMaintenance();
		}, MAINTENANCE_INTERVAL_MS);
		this.#log.event('started', {host: this.#settings.host, failureDomain: this.#settings.failureDomain, service: this.#settings.service});
	}

	/** Applies changed settings. Addresses don't change, because other processes already use them. */
	reload(settings: RelaySettings): void {
		this.#log.event('reloaded', {service: settings.service, before: this.#settings.service});
		this.#settings = {...this.#settings, service: settings.service, seeds: settings.seeds};
	}

	/** Logs that changed settings are invalid; the previous ones stay in force. */
	onInvalidSettings(reason: string): void {
		this.#log.warn('settings_rejected', {reason});
	}

	/** Logs an error that no part has handled. @returns whether the daemon goes on: not after many in a short time */
	survivesUnexpectedError(error: Error): boolean {
		this.#log.registry.count('unexpected_errors', {});
		this.#log.warn('unexpected_error', {reason: error.message, at: (error.stack ?? '').split('\n')[1]?.trim() ?? ''});
		return this.#errorLimit.record(this.#clock.nowMs());
	}

	/** Stops gracefully: refuses new calls, then waits for open ones to end, both within the grace period. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stop();
		return this.#stopped;
	}

	/** To be called before the process ends at once: no answer that isn't fully written may look whole. */
	resetUnwrittenAnswers(): void {
		this.#requestServer.resetUnwritten();
	}

	async #listen(): Promise<void> {
		const {listen, graceMs} = this.#settings;
		if (listen.metrics !== undefined) {
			void this.#binder.bindOptional(this.#metricsEndpoint, listen.metrics);
		}

		// Who has the peers' address owns the target: a predecessor keeps it to its end, which the grace period bounds.
		await this.#binder.bind(this.#peerServer, listen.peers, graceMs);
		await Promise.all([
			this.#binder.bind(this.#requestServer, listen.requests, graceMs),
			this.#binder.bind(this.#readinessEndpoint, listen.readiness, graceMs),
		]);
		// Last, as peers send calls once a target has announced itself.
		await this.#binder.bind(this.#announcementEndpoint, listen.announcements, graceMs);
	}

	async #stop(): Promise<void> {
		this.#isStopping = true;
		this.#binder.stop();
		const lameDuckMs = this.#isStarted ? this.#settings.lameDuckMs : 0;
		const startMs = this.#clock.nowMs();
		this.#log.event('stopping', {
			open: this.#requestServer.openRequests, connections: this.#requestServer.openConnections, running: this.#targetOwner.running, queued: this.#targetOwner.queued,
		});
		this.#requestServer.stop();
		// Peers aren't told sooner: in a rolling restart, instances that stop one after the other would be unavailable at the same time.
		setTimeout(() => {
			this.#peerServer.broadcast([FrameTag.leaving, this.#settings.host]);
			this.#targetOwner.refuseNewCalls();
		}, Math.max(0, lameDuckMs - LAST_CALLS_MS));
		const endMs = startMs + (this.#settings.graceMs * STOP_SHARE);
		let isDrained = false;
		const drain = async () => {
			await this.#requestServer.drain(endMs);
			isDrained = true;
		};

		// Clients that don't notice the stop would send requests until the end, and the last ones would be aborted.
		setTimeout(() => {
			void drain();
		}, lameDuckMs);
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				const nowMs = this.#clock.nowMs();
				if (isDrained) {
					void this.#requestServer.closeUnusedConnections();
				}

				const isIdle = this.#requestServer.openConnections === 0 && this.#requestServer.openRequests === 0 && !this.#peerServer.isSending && this.#targetOwner.running === 0;
				if ((isDrained && isIdle) || nowMs >= endMs) {
					clearInterval(timer);
					resolve();
				}
			}, STOP_CHECK_INTERVAL_MS);
		});
		this.#log.event('stopped', {
			open: this.#requestServer.openRequests, connections: this.#requestServer.openConnections, running: this.#targetOwner.running, tookMs: Math.round(this.#clock.nowMs() - startMs),
		});
		await this.#requestServer.close(this.#settings.graceMs * LAST_ANSWERS_SHARE);
		this.#announcementEndpoint.close();
		this.#readinessEndpoint.close();
		this.#metricsEndpoint.close();
		await this.#peerServer.close(Math.max(0, Math.min(CLOSE_LINKS_MS, startMs + (this.#settings.graceMs * CLOSED_SHARE) - this.#clock.nowMs())));
		this.#links.close();
		this.#shareExchange.close();
		this.#quarantineExchange.close();
		clearInterval(this.#timer);
		await this.#counterFeed?.close();
		await this.#directory.close();
	}

	#send(entry: HostEntry, call: Call, sink: CallSink): CallHandle {
		return entry.host === this.#settings.host ? this.#targetOwner.submit(call, sink) : this.#links.linkTo(entry).call(call, sink);
	}

	#runMaintenance(): void {
		this.#directory.check();
		this.#retryBudget.setDaemonCount(this.#hosts.size);
		this.#links.keepNeighbors();
		this.#links.redial();
		this.#targetMonitor.check();
		this.#quarantine.removeExpired(this.#clock.nowMs());
	}

	#directoryEvents(): DirectoryEvents {
		return {
			onSite: (site: Site) => {
				this.#requestServer.applyLimits(site.spec.limits);
				this.#retryBudget.setRankCount(site.rankOrder.count);
				this.#quotaGate.setLimits(quotaLimits(site.organisations?.values() ?? []));
				this.#shareExchange.setLimits(entitlementsOf(site.organisations));
				this.#refusalCounts.retain(new Set([...site.organisations?.values() ?? []].map(({name}) => name)));
				this.#links.gossip.floodNews();
			},
			onHost: (entry: HostEntry) => {
				this.#links.onHostNews(entry.host);
			},
			onHostRemoved: (host: string) => {
				this.#loadBalancer.retain(known => this.#hosts.get(known) !== undefined);
				this.#targetSignals.forget(host);
				this.#links.removeHost(host);
			},
			onConfirmed: () => {
				this.#links.gossip.floodNews();
			},
			onStoreRestored: () => {
				this.#links.gossip.floodNews();
			},
			onOwnEntry: (entry: HostEntry | undefined) => {
				this.#targetMonitor.handleOwnEntry(entry);
			},
			onRecords: (records: readonly HostRecord[]) => {
				this.#links.gossip.floodRecords(records);
			},
		};
	}
}
