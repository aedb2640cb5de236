import {Clock} from '../src/clock/index.js';
import {EventLog, Logger} from '../src/log/index.js';
import {
	HostTable, type HostEntry, type HostRecord, type Site,
} from '../src/mesh/index.js';
import {Directory} from '../src/relay/store/directory.js';
import {DirectoryEvents} from '../src/relay/store/directoryevents.js';
import {
	type Frame, FrameChannel, FrameTag, type TargetSlowness,
} from '../src/relay/peers/frame.js';
import {Gossip} from '../src/relay/peers/gossip.js';
import {ObjectStore, type StoredObject} from '../src/relay/index.js';
import {MeshAdapter} from '../standins/meshadapter.js';
import {type MemoryStore} from './memorystore.js';
import {Random} from './random.js';

const LINK_MS = 2;
const MAINTENANCE_MS = 500;
/** How long a daemon takes to find that a link has gone silent, in ms. */
const SILENCE_MS = 1200;

/** Called for each frame that a daemon sends to another. @returns whether the frame is lost on its way */
type OnSend = (frame: Frame, from: MeshMember, to: MeshMember) => boolean;

/** Reads the time of the test's timers. */
class TimerClock extends Clock {
	override nowMs(): number {
		return Date.now();
	}
}

/** One end of a link in a mesh; frames arrive if both daemons run and no cut lies between them. */
class FakeChannel extends FrameChannel {
	static connect(from: MeshMember, to: MeshMember): [FakeChannel, FakeChannel] {
		const forth = new FakeChannel(from, to);
		const back = new FakeChannel(to, from);
		forth.#reverse = back;
		back.#reverse = forth;
		return [forth, back];
	}

	readonly #from: MeshMember;
	readonly #to: MeshMember;
	#reverse: FakeChannel | undefined;

	constructor(from: MeshMember, to: MeshMember) {
		super();
		this.#from = from;
		this.#to = to;
	}

	override send(frame: Frame): void {
		const [tag] = frame;
		this.#from.sentFrames.set(tag, (this.#from.sentFrames.get(tag) ?? 0) + 1);
		const isLost = this.#from.onSend(frame, this.#from, this.#to);
		this.#from.deliver(() => {
			if (!isLost && this.#from.reaches(this.#to)) {
				this.#to.gossip.handleFrame(frame, this.#reverse!);
			}
		});
	}
}

/** A daemon of the mesh, as far as what it learns from the store and from its peers is concerned. */
export class MeshMember extends DirectoryEvents {
	readonly name: string;
	readonly failureDomain: string;
	readonly hosts = new HostTable(2000);
	readonly directory: Directory;
	readonly gossip: Gossip;
	readonly unreachable = new Set<string>();
	/** What it heard of slow targets. */
	readonly slowness: TargetSlowness[] = [];
	/** The side of a network cut that it is on. */
	side = 0;
	isUp = true;
	/** The versions of the configurations that came into force, oldest first. */
	readonly versionsInForce: number[] = [];
	readonly logLines: string[] = [];
	readonly links = new Map<string, FakeChannel>();
	/** The number of frames sent, by tag. */
	readonly sentFrames = new Map<number, number>();
	/** Runs an action after the delay of a link. */
	readonly deliver: (action: () => void) => void;
	readonly onSend: OnSend;

	constructor(name: string, failureDomain: string, store: ObjectStore, {random, deliver, onSend}: {random: Random; deliver: (action: () => void) => void; onSend: OnSend}) {
		super();
		this.deliver = deliver;
		this.onSend = onSend;
		this.name = name;
		this.failureDomain = failureDomain;
		const clock = new TimerClock();
		const log = new EventLog(new Logger(name, 'info', line => {
			this.logLines.push(line.trim());
		}), clock);
		this.directory = new Directory({
			adapter: new MeshAdapter(store),
			clock,
			log,
			hosts: this.hosts,
			events: this,
			host: name,
			configMs: 3000,
			settlingMs: 3000,
			random: () => random.next(),
			electWatchers: () => this.gossip.watchers,
		});
		this.gossip = new Gossip({
			host: name,
			failureDomain,
			log,
			nowMs: () => clock.nowMs(),
			hosts: this.hosts,
			directory: this.directory,
			isUnreachable: host => this.unreachable.has(host),
			onChannelAdded: () => undefined,
			onSlowness: slowness => {
				this.slowness.push(slowness);
			},
		});
	}

	get siteVersion(): number | undefined {
		return this.directory.site?.spec.version;
	}

	get entry(): HostEntry {
		return {
			host: this.name,
			failureDomain: this.failureDomain,
			address: '127.0.0.1:1',
			target: {
				id: `i-${this.name}`, service: 's', slots: 4, state: 'ready',
			},
		};
	}

	reaches(other: MeshMember): boolean {
		return this.isUp && other.isUp && this.side === other.side;
	}

	override onSite({version}: Site): void {
		this.versionsInForce.push(version);
		this.gossip.floodNews();
	}

	override onHost({host}: HostEntry): void {
		this.unreachable.delete(host);
		this.gossip.onHostsChanged();
	}

	override onHostRemoved(): void {
		this.gossip.onHostsChanged();
	}

	override onConfirmed(): void {
		this.gossip.floodNews();
	}

	override onStoreRestored(): void {
		this.gossip.floodNews();
	}

	override onOwnEntry(): void {
		// No target leaves here.
	}

	override onRecords(records: readonly HostRecord[]): void {
		this.gossip.floodRecords(records);
	}
}

/** What the store answers a daemon. */
export type StoreAccess = 'open' | 'refused' | 'silent';

/** A daemon's view of the store, which may refuse it or fall silent. */
class MemberStore extends ObjectStore {
	access: StoreAccess = 'open';
	/** The daemon's calls that the store charges in full, and those that may be answered with old data. */
	readonly calls = {fresh: 0, stale: 0};
	readonly #view: ObjectStore;

	constructor(view: ObjectStore) {
		super();
		this.#view = view;
	}

	override async list(...[kind, freshness]: Parameters<ObjectStore['list']>) {
		this.calls[freshness]++;
		await this.#pass();
		return this.#view.list(kind, freshness);
	}

	override async get(kind: string, name: string): Promise<StoredObject> {
		this.calls.fresh++;
		await this.#pass();
		return this.#view.get(kind, name);
	}

	override async watch(...[kind, revision, options]: Parameters<ObjectStore['watch']>) {
		this.calls[options.freshness]++;
		await this.#pass();
		const changes = await this.#view.watch(kind, revision, options);
		await this.#pass();
		return changes;
	}

	override async put(...args: Parameters<ObjectStore['put']>): Promise<StoredObject> {
		this.calls.fresh++;
		await this.#pass();
		return this.#view.put(...args);
	}

	override async remove(...args: Parameters<ObjectStore['remove']>): Promise<void> {
		this.calls.fresh++;
		await this.#pass();
		return this.#view.remove(...args);
	}

	override async close(): Promise<void> {
		return this.#view.close();
	}

	async #pass(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			setTimeout(() => {
				if (this.access === 'open') {
					resolve();
				} else {
					reject(new Error('no access to the store'));
				}
			}, this.access === 'silent' ? SILENCE_MS : LINK_MS);
		});
	}
}

/** Daemons that learn of the store's contents from it and from each other, on the test's fake timers. */
export class DirectoryMesh {
	readonly members: MeshMember[] = [];
	readonly #stores = new Map<MeshMember, MemberStore>();
	readonly #store: MemoryStore;
	readonly #random: Random;
	readonly #domainCount: number;
	readonly #onSend: OnSend;
	#deliveries: Array<() => void> = [];

	constructor(store: MemoryStore, count: number, {domainCount = 5, seed = 1, onSend = () => false}: {domainCount?: number; seed?: number; onSend?: OnSend} = {}) {
		this.#store = store;
		this.#random = new Random(seed);
		this.#domainCount = domainCount;
		this.#onSend = onSend;
		for (let index = 0; index < count; index++) {
			this.add(`h${index}`);
		}

		setInterval(() => {
			for (const member of this.members) {
				this.#maintain(member);
			}
		}, MAINTENANCE_MS);
	}

	/** The calls of all daemons so far: those charged in full, and those that may be answered with old data. */
	get calls(): {fresh: number; stale: number} {
		const all = [...this.#stores.values()].map(({calls}) => calls);
		return {fresh: all.reduce((sum, {fresh}) => sum + fresh, 0), stale: all.reduce((sum, {stale}) => sum + stale, 0)};
	}

	get watchers(): MeshMember[] {
		return this.members.filter(({isUp, gossip}) => isUp && gossip.watchers.isElected);
	}

	add(name: string): MeshMember {
		const member = this.#create(name, `d${this.members.length % this.#domainCount}`);
		this.members.push(member);
		return member;
	}

	/** Starts a daemon that was killed again, without what it knew, and with this entry. */
	restart(killed: MeshMember, entry = killed.entry): MeshMember {
		const member = this.#create(killed.name, killed.failureDomain, entry);
		this.members[this.members.indexOf(killed)] = member;
		return member;
	}

	setAccess(members: readonly MeshMember[], access: StoreAccess): void {
		for (const member of members) {
			this.#stores.get(member)!.access = access;
		}
	}

	/** Ends daemons without a word, as a loss of power does. */
	kill(members: readonly MeshMember[]): void {
		for (const member of members) {
			member.isUp = false;
			void member.directory.close();
			member.gossip.close();
		}
	}

	/** The numbers of running daemons by the version of their configuration. */
	countVersions(members: readonly MeshMember[] = this.members): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {isUp, siteVersion} of members) {
			if (isUp) {
				counts[String(siteVersion)] = (counts[String(siteVersion)] ?? 0) + 1;
			}
		}

		return counts;
	}

	#create(name: string, failureDomain: string, entry?: HostEntry): MeshMember {
		const store = new MemberStore(this.#store.createView());
		const member = new MeshMember(name, failureDomain, store, {
			random: this.#random,
			deliver: action => {
				this.#deliver(action);
			},
			onSend: this.#onSend,
		});
		this.#stores.set(member, store);
		member.directory.start();
		member.directory.publish(entry ?? member.entry);
		return member;
	}

	// All frames sent at one time arrive by one timer, because fake timers are slow in large numbers.
	#deliver(action: () => void): void {
		if (this.#deliveries.length === 0) {
			setTimeout(() => {
				const deliveries = this.#deliveries;
				this.#deliveries = [];
				for (const deliver of deliveries) {
					deliver();
				}
			}, LINK_MS);
		}

		this.#deliveries.push(action);
	}

	#maintain(member: MeshMember): void {
		if (!member.isUp) {
			return;
		}

		member.directory.check();
		for (const [name, channel] of member.links) {
			const peer = this.members.find(one => one.name === name)!;
			if (!member.reaches(peer)) {
				member.links.delete(name);
				member.gossip.removeChannel(channel);
				setTimeout(() => {
					member.unreachable.add(name);
					member.gossip.onHostsChanged();
				}, SILENCE_MS);
			}
		}

		for (const name of member.unreachable) {
			const peer = this.members.find(one => one.name === name);
			if (peer !== undefined && member.reaches(peer)) {
				member.unreachable.delete(name);
				member.gossip.onHostsChanged();
			}
		}

		const {neighbors} = member.gossip;
		for (const {host} of neighbors) {
			const peer = this.members.find(one => one.name === host);
			if (peer !== undefined && !member.links.has(host) && member.reaches(peer)) {
				const [forth, back] = FakeChannel.connect(member, peer);
				member.links.set(host, forth);
				member.gossip.addChannel(forth);
				peer.gossip.addChannel(back);
			}
		}

		if (neighbors.every(({host}) => member.links.has(host))) {
			this.#dropOtherLinks(member);
		}
	}

	#dropOtherLinks(member: MeshMember): void {
		const names = new Set(member.gossip.neighbors.map(({host}) => host));
		for (const [name, channel] of member.links) {
			if (!names.has(name)) {
				channel.send([FrameTag.subscribe, false]);
				member.gossip.removeChannel(channel);
				member.links.delete(name);
			}
		}
	}
}
