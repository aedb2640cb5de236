import {type Answer} from './answer.js';
import {AdmissionController} from './admissioncontroller.js';
import {ConfigStore} from './configstore.js';
import {Directory} from './directory.js';
import {type Explanation, type ExplainQuery, explainRequest} from './explain.js';
import {type Call, type Frame} from './frame.js';
import {Gossip} from './gossip.js';
import {Ingress} from './ingress.js';
import {CoreContext} from './corecontext.js';
import {Ledger} from './ledger.js';
import {Links} from './links.js';
import {Membership} from './membership.js';
import {type Input, type Output} from './message.js';
import {type CoreOptions} from './coreoptions.js';
import {FloorTable} from './floortable.js';
import {LoadReporter} from './loadreporter.js';
import {Quarantine} from './quarantine/index.js';
import {QuarantineExchange} from './quarantineexchange.js';
import {QuarantineGate} from './quarantinegate.js';
import {Resender} from './resender.js';
import {LoadBalancer} from './loadbalancer.js';
import {type DaemonStatus, buildStatus} from './daemonstatus.js';
import {type Origin} from './receivedcall.js';

const HOUSEKEEPING_INTERVAL_MS = 1000;
/** Time since the last tick from which the core assumes that its process was paused, in ms. */
const PAUSE_THRESHOLD_MS = 250;
/** Least duration of the lame-duck state, in ms: the daemon still accepts requests and routes them to other hosts. */
export const LAME_DUCK_MS = 500;
/** How long the record of a member that left or died is kept, in ms. */
const TOMBSTONE_LIFETIME_MS = 7_200_000;
/** Most entries of the ledger, unless the options set another number. */
const DEFAULT_LEDGER_CAPACITY = 100_000;

/**
 * The decision logic of one daemon, without I/O. Every event comes in as an
 * input with the time, and every effect goes out as an output. The core reads
 * no clock, opens no socket and takes all random numbers from its seed.
 */
export class DaemonCore {
	readonly #coreContext: CoreContext;
	readonly #membership: Membership;
	readonly #config = new ConfigStore();
	readonly #links: Links;
	readonly #loadBalancer: LoadBalancer;
	readonly #floorTable = new FloorTable();
	readonly #ledger: Ledger;
	readonly #admission: AdmissionController;
	readonly #ingress: Ingress;
	readonly #resender: Resender;
	readonly #loadReporter: LoadReporter;
	readonly #gossip: Gossip;
	readonly #directory: Directory;
	readonly #quarantine: Quarantine;
	readonly #quarantineExchange: QuarantineExchange;
	readonly #lastCallIds = new Map<string, number>();
	#lastHousekeepingMs = 0;
	#lastTickMs = 0;
	#drainStartMs: number | undefined;
	#isStopped = false;

	constructor(options: CoreOptions, startMs: number) {
		const {id} = options;
		this.#lastTickMs = startMs;
		const coreContext = new CoreContext(options.seed, startMs);
		this.#coreContext = coreContext;
		this.#membership = new Membership(options.region, startMs);
		this.#links = new Links(coreContext);
		this.#loadBalancer = new LoadBalancer(coreContext, this.#links, id);
		this.#ledger = new Ledger(startMs, options.ledgerCapacity ?? DEFAULT_LEDGER_CAPACITY);
		this.#quarantine = new Quarantine(options.quarantine?.firstHoldMs);
		this.#admission = new AdmissionController({
			coreContext,
			quarantine: options.quarantine && {
				...options.quarantine, quarantine: this.#quarantine, target: id, membership: this.#membership, onNews: news => {
					this.#quarantineExchange.tell(news);
				},
			},
			ledger: this.#ledger,
			bounds: () => this.#ownServiceSpec(),
			answer: (origin, answer, tokens) => {
				this.#deliverAnswer(origin, answer, tokens);
			},
			onEnded: call => {
				this.#ingress.onParentEnded(call);
			},
		});
		const parts = {
			quarantineGate: options.quarantine && new QuarantineGate(coreContext, this.#quarantine, options.quarantine.identity),
			self: id,
			incarnation: startMs,
			coreContext,
			membership: this.#membership,
			links: this.#links,
			loadBalancer: this.#loadBalancer,
			floorTable: this.#floorTable,
			admission: this.#admission,
			ledger: this.#ledger,
			config: this.#config,
			catalog: () => (this.#directory.isReady ? this.#config.catalog : undefined),
		};
		this.#loadReporter = new LoadReporter(parts);
		this.#ingress = new Ingress(parts);
		this.#resender = new Resender({...parts, ingress: this.#ingress});
		this.#ingress.setResender(this.#resender);
		this.#gossip = new Gossip({
			id,
			address: options.address,
			region: options.region,
			failureDomain: options.failureDomain,
			incarnation: startMs,
			status: 'alive',
			slots: 0,
			connections: 0,
		}, parts);
		this.#quarantineExchange = new QuarantineExchange({...parts, quarantine: this.#quarantine, gossip: this.#gossip});
		this.#directory = new Directory({...parts, gossip: this.#gossip}, options.seeds ?? []);
	}

	/** Handles one input and returns the resulting outputs. A time before the latest one seen counts as the latest. */
	step(input: Input, nowMs: number): Output[] {
		this.#coreContext.nowMs = Math.max(nowMs, this.#coreContext.nowMs);
		const gapMs = this.#coreContext.nowMs - this.#lastTickMs;
		this.#coreContext.pausedMs = gapMs < PAUSE_THRESHOLD_MS ? 0 : gapMs;
		if (!this.#isStopped) {
			this.#handleInput(input);
		}

		return this.#coreContext.takeOutputs();
	}

	/** Returns a snapshot of the state for operators. */
	status(): DaemonStatus {
		return buildStatus({
			coreContext: this.#coreContext,
			membership: this.#membership,
			config: this.#config,
			floorTable: this.#floorTable,
			admission: this.#admission,
			ledger: this.#ledger,
			gossip: this.#gossip,
			directory: this.#directory,
			links: this.#links,
			inFlight: this.#ingress.pendingCount,
			maxRetries: this.#ingress.maxRetries,
			isDraining: this.#drainStartMs !== undefined,
		});
	}

	/** Returns what would happen to a request, without sending it. */
	explain(query: ExplainQuery): Explanation {
		return explainRequest(query, {
			catalog: this.#directory.isReady ? this.#config.catalog : undefined,
			membership: this.#membership,
			floorTable: this.#floorTable,
			loadBalancer: this.#loadBalancer,
			nowMs: this.#coreContext.nowMs,
		});
	}

	#handleInput(input: Input): void {
		switch (input.type) {
			case 'request': {
				this.#ingress.onRequest(input);
				break;
			}

			case 'abandon': {
				this.#ingress.onAbandon(input.id);
				break;
			}

			case 'target': {
				this.#admission.onResult(input.id, input.result);
				break;
			}

			case 'frame': {
				this.#onFrame(input.peer, input.side, input.frame);
				break;
			}

			case 'link': {
				this.#onLink(input.peer, input.side, input.up);
				break;
			}

			case 'announce': {
				if (this.#admission.announce(input.announcement)) {
					this.#gossip.publishTarget(input.announcement);
				}

				break;
			}

			case 'withdraw': {
				if (this.#admission.withdraw()) {
					this.#gossip.publishTarget(undefined);
				}

				break;
			}

			case 'tick': {
				this.#tick();
				break;
			}

			case 'platform': {
				this.#directory.onPlatformReply(input.reply);
				break;
			}

			case 'drain': {
				this.#startDrain();
				break;
			}
		}
	}

	#onFrame(peer: string, side: 'in' | 'out', frame: Frame): void {
		if (side === 'out') {
			this.#links.onFrameReceived(peer);
		}

		const reply = (replyFrame: Frame) => {
			this.#coreContext.emit({
				type: 'frame', peer, side, frame: replyFrame,
			});
		};

		switch (frame.type) {
			case 'call': {
				this.#onCall(peer, frame.id, frame);
				break;
			}

			case 'answer': {
				this.#loadReporter.recordPeerReport(peer, frame);
				this.#ingress.onAnswer(frame.id, frame.answer, frame.tokens);
				break;
			}

			case 'cancel': {
				this.#admission.cancel({peer, callId: frame.id});
				break;
			}

			case 'fence': {
				this.#resender.onFenceRequest(frame, reply);
				break;
			}

			case 'vouch': {
				this.#resender.onFenceReply(peer, frame.id, frame.vouch, frame.upstreams);
				break;
			}

			case 'heartbeat': {
				this.#loadReporter.recordPeerReport(peer, frame);
				if (frame.answered) {
					this.#gossip.onDigests(peer, frame.members, frame.config);
				} else {
					reply({type: 'heartbeat', answered: true, ...this.#loadReporter.buildHeartbeat(peer)});
				}

				break;
			}

			case 'quarantine': {
				this.#quarantineExchange.onFrame(peer, frame);
				break;
			}

			case 'gossip': {
				for (const {name, generation} of this.#gossip.onGossip(peer, frame.members, frame.config)) {
					this.#coreContext.log('config_accepted', {object: name, generation});
				}

				break;
			}

			case 'sync': {
				this.#directory.onPeerAnswered(peer);
				this.#gossip.onSync(frame, reply);
				break;
			}
		}
	}

	// Call ids increase on a link, so an id at or below the last one is a duplicate or arrives out of order.
	#onCall(peer: string, id: number, {call}: Extract<Frame, {type: 'call'}>): void {
		if (id <= (this.#lastCallIds.get(peer) ?? 0)) {
			this.#coreContext.counters.add('duplicate_call', call.service);
			return;
		}

		this.#lastCallIds.set(peer, id);
		this.#admission.admit({peer, callId: id}, this.#subtractPause(call));
	}

	// The call may have waited unread while the process was paused.
	#subtractPause(call: Call): Call {
		const {pausedMs} = this.#coreContext;
		return pausedMs === 0 ? call : {...call, budgetMs: call.budgetMs - pausedMs};
	}

	#onLink(peer: string, side: 'in' | 'out', isUp: boolean): void {
		if (side === 'in') {
			this.#gossip.onInboundLink(peer, isUp);
			this.#lastCallIds.delete(peer);
			if (!isUp) {
				this.#admission.cancelCallsFrom(peer);
			}
		} else if (isUp) {
			this.#links.onUp(peer);
			this.#ingress.onLinkUp(peer);
			this.#quarantineExchange.onLinkUp(peer);
		} else {
			this.#onLinkLost(peer);
		}
	}

	#onLinkLost(peer: string): void {
		this.#links.onDown(peer);
		this.#gossip.onOutboundLinkLost(peer);
		this.#ingress.onLinkDown(peer);
		this.#resender.onLinkDown(peer);
		this.#directory.onPeerLost(peer);
	}

	#tick(): void {
		this.#lastTickMs = this.#coreContext.nowMs;
		if (this.#admission.tick()) {
			this.#gossip.publishTarget(undefined);
		}

		this.#loadReporter.recordOwnFloor();
		this.#ingress.tick();
		this.#resender.tick();
		this.#directory.tick();
		this.#gossip.tick();
		const isKept = (peer: string) => this.#gossip.neighborIds.has(peer) || this.#loadBalancer.hasInFlight(peer);
		for (const peer of this.#links.tick(to => this.#loadReporter.buildHeartbeat(to), isKept)) {
			this.#onLinkLost(peer);
		}

		this.#removeExpired(this.#lastTickMs);
		this.#stopIfDrained(this.#lastTickMs);
	}

	#removeExpired(nowMs: number): void {
		if (nowMs - this.#lastHousekeepingMs >= HOUSEKEEPING_INTERVAL_MS) {
			this.#lastHousekeepingMs = nowMs;
			this.#ledger.removeExpired(nowMs);
			this.#quarantine.removeExpired(nowMs);
			this.#membership.removeTombstones(nowMs - TOMBSTONE_LIFETIME_MS);
		}
	}

	#startDrain(): void {
		if (this.#drainStartMs === undefined) {
			this.#drainStartMs = this.#coreContext.nowMs;
			this.#admission.drain();
			this.#gossip.publishDeparture('leaving');
			this.#coreContext.log('draining', {running: this.#admission.running, queued: this.#admission.queued});
		}
	}

	#stopIfDrained(nowMs: number): void {
		if (this.#drainStartMs === undefined || nowMs - this.#drainStartMs < LAME_DUCK_MS) {
			return;
		}

		if (this.#admission.isEmpty && this.#ingress.pendingCount === 0) {
			this.#isStopped = true;
			this.#gossip.publishDeparture('left');
			this.#directory.deregister();
			this.#coreContext.emit({type: 'stopped'});
		}
	}

	#deliverAnswer({peer, callId}: Origin, answer: Answer, tokens: number): void {
		if (peer === undefined) {
			this.#ingress.onAnswer(callId, answer, tokens);
			return;
		}

		const frame = this.#loadReporter.buildAnswerFrame(peer, callId, answer, tokens);
		this.#coreContext.emit({
			type: 'frame', peer, side: 'in', frame,
		});
	}

	#ownServiceSpec() {
		return this.#config.catalog?.services.get(this.#admission.announcement?.service ?? '');
	}
}
