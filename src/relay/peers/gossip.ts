import {type EventLog} from '../../log/index.js';
import {
	type HostEntry, type HostRecord, type HostTable, type StoreWatchers, chooseMeshNeighbors, electStoreWatchers,
} from '../../mesh/index.js';
import {type Directory} from '../store/directory.js';
import {
	type Frame, type FrameChannel, FrameTag, type TargetSlowness, buildOffersFrame, buildRecordsFrame, buildSlownessFrame, buildVersionsFrame, readNews, readOffers, readRecords, readSlowness, readVersions,
} from './frame.js';
import {RecordRequester} from './recordrequester.js';
import {SiteRequester} from './siterequester.js';

/** The shortest time between two frames with versions or slow targets, in ms, so that many in a row cost few frames; the first goes out at once. */
const FLOOD_INTERVAL_MS = 40;
/** The delay in ms before a peer outside the mesh or in another failure domain is asked for its newer configuration, because the mesh mostly delivers it first. */
const SITE_REQUEST_DELAY_MS = 150;
/** Consecutive news with a different digest from one peer after which the versions are compared even if they still change. */
const MAX_MISMATCHES = 12;
/** The shortest time between two comparisons of versions that this daemon begins, in ms. */
const COMPARISON_INTERVAL_MS = 1500;

/** A difference between the digests of two daemons: a pair that stays the same is no version on its way. */
type Mismatch = {count: number; own: number; other: number};

const NO_MISMATCH: Mismatch = {count: 0, own: 0, other: 0};

export type GossipParts = {
	readonly host: string;
	readonly failureDomain: string;
	readonly log: EventLog;
	readonly nowMs: () => number;
	readonly hosts: HostTable;
	readonly directory: Directory;
	readonly isUnreachable: (host: string) => boolean;
	/** Called when a link has become part of the mesh. */
	readonly onChannelAdded: (channel: FrameChannel) => void;
	/** Called when a target is found to be slow, still slow or slow no longer by its own daemon. */
	readonly onSlowness: (slowness: TargetSlowness) => void;
};

/**
 * Spreads over a sparse mesh what the few daemons that watch the store learn:
 * the revision of the configuration with the time of its confirmation, and the
 * revisions of entries. Both are flooded once. A daemon that lacks a version
 * requests it from the peer that told of it; digests reveal entries that a
 * flood has missed.
 */
export class Gossip {
	readonly #parts: GossipParts;
	/** The links of the mesh, opened by either side, with the difference that the last news on each showed. */
	readonly #channels = new Map<FrameChannel, Mismatch>();
	#neighbors: readonly HostEntry[] = [];
	/** The neighbors that this daemon would have if all known hosts were reachable. */
	#preferredNeighbors: ReadonlySet<string> = new Set();
	#watchers: StoreWatchers = {isElected: false, count: 1};
	#areNeighborsStale = true;
	readonly #pendingRecords = new Map<string, {revision: number; from: FrameChannel | undefined}>();
	readonly #recordRequester: RecordRequester;
	#pendingTimer: NodeJS.Timeout | undefined;
	#floodedMs = Number.NEGATIVE_INFINITY;
	readonly #slowness = new Map<string, TargetSlowness>();
	readonly #pendingSlowness = new Map<string, {slowness: TargetSlowness; from: FrameChannel | undefined}>();
	readonly #siteRequester = new SiteRequester(() => this.#siteVersion);
	#comparedMs = Number.NEGATIVE_INFINITY;

	constructor(parts: GossipParts) {
		this.#parts = parts;
		const {nowMs, hosts} = parts;
		this.#recordRequester = new RecordRequester({nowMs, revisionOf: host => hosts.revisionOf(host)});
	}

	/** The hosts that this daemon keeps links to. */
	get neighbors(): readonly HostEntry[] {
		this.#refresh();
		return this.#neighbors;
	}

	/** Whether the host is a neighbor whenever it is reachable. */
	isPreferredNeighbor(host: string): boolean {
		this.#refresh();
		return this.#preferredNeighbors.has(host);
	}

	/** The daemons that watch the store. */
	get watchers(): StoreWatchers {
		this.#refresh();
		return this.#watchers;
	}

	/** Has the neighbors chosen anew, because a host has come or gone. */
	onHostsChanged(): void {
		this.#areNeighborsStale = true;
	}

	/** Makes a link that has opened part of the mesh. */
	addChannel(channel: FrameChannel): void {
		if (!this.#channels.has(channel)) {
			// The first difference on a new link is no version on its way.
			this.#channels.set(channel, {...NO_MISMATCH, count: MAX_MISMATCHES - 1});
			channel.send(this.#buildNewsFrame());
			this.#parts.onChannelAdded(channel);
		}
	}

	removeChannel(channel: FrameChannel): void {
		this.#channels.delete(channel);
	}

	/** Builds the first frame on a link. */
	buildHelloFrame(): Frame {
		return [FrameTag.hello, this.#siteVersion, this.#parts.host];
	}

	/** Tells the mesh the configuration's version, how recently the store confirmed it, and the store's epoch. */
	floodNews(except?: FrameChannel): void {
		this.flood(this.#buildNewsFrame(), except);
	}

	/** Sends a frame to all neighbors. */
	flood(frame: Frame, except?: FrameChannel): void {
		for (const channel of this.#channels.keys()) {
			if (channel !== except) {
				channel.send(frame);
			}
		}
	}

	/** Tells the mesh versions of entries. */
	floodRecords(records: readonly HostRecord[], from?: FrameChannel): void {
		for (const record of records) {
			this.#pendingRecords.set(record.host, {revision: record.revision, from});
		}

		if (records.length > 0) {
			this.#schedulePending();
		}
	}

	/** Tells the mesh, and this daemon's load balancer, how slow a target is, unless a newer message of it came before. */
	floodSlowness(slowness: TargetSlowness, from?: FrameChannel): void {
		const {host, measuredMs} = slowness;
		const known = this.#slowness.get(host);
		if (known !== undefined && known.measuredMs >= measuredMs) {
			return;
		}

		this.#slowness.set(host, slowness);
		const hasChanged = (known?.slowness ?? 1) === 1 || slowness.slowness === 1;
		if (hasChanged && host !== this.#parts.host) {
			this.#parts.log.event('slowness_heard', {host, slowness: slowness.slowness.toFixed(1)});
		}

		this.#parts.onSlowness(slowness);
		this.#pendingSlowness.set(host, {slowness, from});
		this.#schedulePending();
	}

	/** Handles a frame of the mesh. @returns whether it is one */
	handleFrame(frame: Frame, channel: FrameChannel): boolean {
		switch (frame[0]) {
			case FrameTag.hello: {
				this.#onHello(frame, channel);
				return true;
			}

			case FrameTag.subscribe: {
				if (frame[1] === false) {
					this.removeChannel(channel);
				} else {
					this.addChannel(channel);
				}

				return true;
			}

			case FrameTag.news: {
				this.#onNews(frame, channel);
				return true;
			}

			case FrameTag.siteRequest: {
				this.#sendSite(channel);
				return true;
			}

			case FrameTag.site: {
				this.#onSite(frame, channel);
				return true;
			}

			case FrameTag.records: {
				const {directory, hosts, log} = this.#parts;
				this.floodRecords(directory.offerRecords(readRecords(frame, hosts.revisions, log)), channel);
				return true;
			}

			case FrameTag.slowness: {
				for (const slowness of readSlowness(frame)) {
					this.floodSlowness(slowness, channel);
				}

				return true;
			}

			case FrameTag.offers: {
				this.#recordRequester.request(readOffers(frame), channel);
				return true;
			}

			case FrameTag.recordRequest: {
				this.#sendRecords(frame[1], channel);
				return true;
			}

			case FrameTag.versions: {
				this.#onVersions(frame, channel);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	close(): void {
		clearTimeout(this.#pendingTimer);
		this.#siteRequester.close();
		this.#recordRequester.close();
	}

	get #siteVersion(): number {
		return this.#parts.directory.site?.version ?? 0;
	}

	#refresh(): void {
		if (!this.#areNeighborsStale) {
			return;
		}

		this.#areNeighborsStale = false;
		const {host, failureDomain, hosts, isUnreachable} = this.#parts;
		const self = {host, failureDomain};
		const others = hosts.entries.filter(entry => entry.host !== host);
		const reachable = others.filter(entry => !isUnreachable(entry.host));
		const chosen = chooseMeshNeighbors(self, reachable);
		this.#neighbors = reachable.filter(entry => chosen.has(entry.host));
		this.#preferredNeighbors = reachable.length === others.length ? chosen : chooseMeshNeighbors(self, others);
		this.#watchers = electStoreWatchers(self, reachable);
	}

	#buildNewsFrame(): Frame {
		const {directory, hosts} = this.#parts;
		const ageMs = directory.confirmationAgeMs;
		return [FrameTag.news, this.#siteVersion, Number.isFinite(ageMs) ? Math.round(ageMs) : null, hosts.digest, directory.storeEpoch ?? null];
	}

	#onNews(frame: Frame, channel: FrameChannel): void {
		const {directory} = this.#parts;
		const {
			siteVersion, ageMs, digest, storeEpoch,
		} = readNews(frame);
		if (siteVersion > this.#siteVersion) {
			this.#siteRequester.request({channel, version: siteVersion});
		} else if (siteVersion < this.#siteVersion) {
			channel.send(this.#buildNewsFrame());
		}

		const wasRestored = storeEpoch !== undefined && directory.offerEpoch(storeEpoch);
		const isConfirmed = ageMs !== undefined && directory.confirm(siteVersion, ageMs);
		if (wasRestored || isConfirmed) {
			this.floodNews(channel);
		}

		this.#compareDigest(digest, channel);
	}

	#compareDigest(other: number, channel: FrameChannel): void {
		const {hosts: {digest: own, revisions}, nowMs} = this.#parts;
		const last = this.#channels.get(channel);
		if (last === undefined) {
			return;
		}

		if (other === own) {
			this.#channels.set(channel, NO_MISMATCH);
			return;
		}

		const count = last.count + 1;
		const isStable = last.count > 0 && last.own === own && last.other === other;
		const isDue = (isStable || count >= MAX_MISMATCHES) && nowMs() - this.#comparedMs >= COMPARISON_INTERVAL_MS;
		this.#channels.set(channel, isDue ? NO_MISMATCH : {count, own, other});
		if (isDue) {
			this.#comparedMs = nowMs();
			channel.send(buildVersionsFrame(revisions, true));
		}
	}

	#onVersions(frame: Frame, channel: FrameChannel): void {
		const {hosts} = this.#parts;
		const {revisions, wantsReply} = readVersions(frame);
		const records = hosts.newerThan(revisions);
		if (records.length > 0) {
			channel.send(buildRecordsFrame(records));
		}

		if (wantsReply) {
			channel.send(buildVersionsFrame(hosts.revisions, false));
		}
	}

	#schedulePending(): void {
		const {nowMs} = this.#parts;
		const sinceMs = nowMs() - this.#floodedMs;
		this.#pendingTimer ??= setTimeout(() => {
			this.#pendingTimer = undefined;
			this.#floodedMs = nowMs();
			this.#offerPendingRecords();
			this.#sendPendingSlowness();
		}, Math.max(0, FLOOD_INTERVAL_MS - sinceMs));
	}

	#sendPendingSlowness(): void {
		const pending = [...this.#pendingSlowness.values()];
		this.#pendingSlowness.clear();
		for (const channel of this.#channels.keys()) {
			const others = pending.filter(({from}) => from !== channel).map(({slowness}) => slowness);
			if (others.length > 0) {
				channel.send(buildSlownessFrame(others));
			}
		}
	}

	// Only the revisions are flooded: each version would otherwise arrive whole over every link of the mesh.
	#offerPendingRecords(): void {
		const pending = [...this.#pendingRecords];
		this.#pendingRecords.clear();
		for (const channel of this.#channels.keys()) {
			const offered = pending.filter(([, {from}]) => from !== channel).map(([host, {revision}]): [string, number] => [host, revision]);
			if (offered.length > 0) {
				channel.send(buildOffersFrame(offered));
			}
		}
	}

	#sendRecords(hosts: unknown, channel: FrameChannel): void {
		const names = Array.isArray(hosts) ? hosts.filter(host => typeof host === 'string') : [];
		const records = this.#parts.hosts.recordsOf(names);
		if (records.length > 0) {
			channel.send(buildRecordsFrame(records));
		}
	}

	#onHello([, offered, host]: Frame, channel: FrameChannel): void {
		const {hosts, failureDomain} = this.#parts;
		const version = offered as number;
		if (version <= this.#siteVersion) {
			return;
		}

		// Mostly a peer in the own failure domain offers it too, from which it costs less.
		const isNear = (hosts.get(String(host))?.failureDomain ?? failureDomain) === failureDomain;

		setTimeout(() => {
			if (version > this.#siteVersion) {
				this.#siteRequester.request({channel, version});
			}
		}, this.#siteVersion === 0 && isNear ? 0 : SITE_REQUEST_DELAY_MS);
	}

	#sendSite(channel: FrameChannel): void {
		const {directory} = this.#parts;
		if (directory.site !== undefined) {
			const ageMs = directory.confirmationAgeMs;
			channel.send([FrameTag.site, directory.site.version, directory.siteValue, Number.isFinite(ageMs) ? Math.round(ageMs) : null, directory.site.revision]);
		}
	}

	#onSite([, version, value, ageMs, revision]: Frame, channel: FrameChannel): void {
		const {directory, hosts, log} = this.#parts;
		log.event('site_from_peer', {revision: revision as number, version: version as number});
		directory.offerSite(value, revision as number);
		if (typeof ageMs === 'number') {
			directory.confirm(version as number, ageMs);
		}

		this.#siteRequester.onArrived();

		// A daemon that can't reach the store learns the hosts together with the configuration.
		if (hosts.size <= 1) {
			channel.send(buildVersionsFrame(hosts.revisions, false));
		}
	}
}
