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
import {Resender} from './resender.js';
import {LoadBalancer} from './loadbalancer.js';
import {type DaemonStatus, buildStatus} from './daemonstatus.js';
import {type Origin} from './receivedcall.js';

const HOUSEKEEPING_MS = 1000;
/** Time without a tick after which this process counts as having been paused, in ms. */
const PAUSE_MS = 250;
/** How long a stopping daemon still takes requests and sends them elsewhere, in ms. */
const LAME_DUCK_MS = 500;
/** How long an ended member is remembered, in ms. */
const TOMBSTONE_MS = 7_200_000;
const DEFAULT_LEDGER_CAPACITY = 100_000;

/**
 * One daemon's decisions. Everything that happens comes in as an input with
 * the time, and everything it wants done goes out as an output; it reads no
 * clock, opens no socket and draws no randomness of its own.
 */
export class DaemonCore {
	readonly #kernel: CoreContext;
	readonly #membership: Membership;
	readonly #config = new ConfigStore();
	readonly #links: Links;
	readonly #router: LoadBalancer;
	readonly #pressure = new FloorTable();
	readonly #ledger: Ledger;
	readonly #admission: AdmissionController;
	readonly #ingress: Ingress;
	readonly #resender: Resender;
	readonly #reports: LoadReporter;
	readonly #gossip: Gossip;
	readonly #directory: Directory;
	readonly #lastCallIds = new Map<string, number>();
	#housekeepingMs = 0;
	#tickMs = 0;
	#drainMs: number | undefined;
	#stopped = false;

	constructor(options: CoreOptions, startMs: number) {
		const {id} = options;
		this.#tickMs = startMs;
		const kernel = new CoreContext(options.seed, startMs);
		this.#kernel = kernel;
		this.#membership = new Membership(options.region);
		this.#links = new Links(kernel);
		this.#router = new LoadBalancer(kernel, this.#links, id);
		this.#ledger = new Ledger(startMs, options.ledgerCapacity ?? DEFAULT_LEDGER_CAPACITY);
		this.#admission = new AdmissionController({
			kernel,
			ledger: this.#ledger,
			bounds: () => this.#bounds(),
			answer: (origin, answer, tokens) => {
				this.#answer(origin, answer, tokens);
			},
			onEnded: work => {
				this.#ingress.onParentEnded(work);
			},
		});
		const parts = {
			self: id,
			incarnation: startMs,
			kernel,
			membership: this.#membership,
			links: this.#links,
			router: this.#router,
			pressure: this.#pressure,
			admission: this.#admission,
			ledger: this.#ledger,
			config: this.#config,
			catalog: () => (this.#directory.isReady ? this.#config.catalog : undefined),
		};
		this.#reports = new LoadReporter(parts);
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
		this.#directory = new Directory({...parts, gossip: this.#gossip}, options.seeds ?? []);
	}

	/** Takes one input at a time that never goes back, and returns what to do. */
	step(input: Input, nowMs: number): Output[] {
		this.#kernel.nowMs = Math.max(nowMs, this.#kernel.nowMs);
		const gapMs = this.#kernel.nowMs - this.#tickMs;
		this.#kernel.pausedMs = gapMs < PAUSE_MS ? 0 : gapMs;
		if (!this.#stopped) {
			this.#apply(input);
		}

		return this.#kernel.takeOutputs();
	}

	/** A view of the state, for operators. */
	status(): DaemonStatus {
		return buildStatus({
			kernel: this.#kernel,
			membership: this.#membership,
			config: this.#config,
			pressure: this.#pressure,
			admission: this.#admission,
			ledger: this.#ledger,
			gossip: this.#gossip,
			directory: this.#directory,
			links: this.#links,
			inFlight: this.#ingress.pendingCount,
			maxRetries: this.#ingress.maxRetries,
			isDraining: this.#drainMs !== undefined,
		});
	}

	/** What would happen to a request, without sending it. */
	explain(question: ExplainQuery): Explanation {
		return explainRequest(question, {
			catalog: this.#directory.isReady ? this.#config.catalog : undefined,
			membership: this.#membership,
			pressure: this.#pressure,
			router: this.#router,
			nowMs: this.#kernel.nowMs,
		});
	}

	#apply(input: Input): void {
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
				this.#drain();
				break;
			}
		}
	}

	#onFrame(peer: string, side: 'in' | 'out', frame: Frame): void {
		if (side === 'out') {
			this.#links.onFrameReceived(peer);
		}

		const reply = (answer: Frame) => {
			this.#kernel.emit({
				type: 'frame', peer, side, frame: answer,
			});
		};

		switch (frame.type) {
			case 'call': {
				this.#onCall(peer, frame.id, frame);
				break;
			}

			case 'answer': {
				this.#reports.recordPeerReport(peer, frame);
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
				this.#reports.recordPeerReport(peer, frame);
				if (frame.answered) {
					this.#gossip.onDigests(peer, frame.members, frame.config);
				} else {
					reply({type: 'heartbeat', answered: true, ...this.#reports.buildHeartbeat(peer)});
				}

				break;
			}

			case 'gossip': {
				for (const {name, generation} of this.#gossip.onGossip(peer, frame.members, frame.config)) {
					this.#kernel.log('config_accepted', {object: name, generation});
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

	// Ids grow on a link, so one at or below the last is a duplicate or came too late.
	#onCall(peer: string, id: number, {call}: Extract<Frame, {type: 'call'}>): void {
		if (id <= (this.#lastCallIds.get(peer) ?? 0)) {
			this.#kernel.counters.add('duplicate_call', call.service);
			return;
		}

		this.#lastCallIds.set(peer, id);
		this.#admission.admit({peer, callId: id}, this.#aged(call));
	}

	#aged(call: Call): Call {
		const {pausedMs} = this.#kernel;
		return pausedMs === 0 ? call : {...call, budgetMs: call.budgetMs - pausedMs};
	}

	#onLink(peer: string, side: 'in' | 'out', up: boolean): void {
		if (side === 'in') {
			this.#gossip.onInboundLink(peer, up);
			this.#lastCallIds.delete(peer);
			if (!up) {
				this.#admission.cancelCallsFrom(peer);
			}
		} else if (up) {
			this.#links.onUp(peer);
			this.#ingress.onLinkUp(peer);
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
		this.#tickMs = this.#kernel.nowMs;
		if (this.#admission.tick()) {
			this.#gossip.publishTarget(undefined);
		}

		this.#reports.recordOwnFloor();
		this.#ingress.tick();
		this.#resender.tick();
		this.#directory.tick();
		this.#gossip.tick();
		const isKept = (peer: string) => this.#gossip.neighborIds.has(peer) || this.#router.hasInFlight(peer);
		for (const peer of this.#links.tick(to => this.#reports.buildHeartbeat(to), isKept)) {
			this.#onLinkLost(peer);
		}

		this.#keepHouse(this.#tickMs);
		this.#finishDrain(this.#tickMs);
	}

	#keepHouse(nowMs: number): void {
		if (nowMs - this.#housekeepingMs >= HOUSEKEEPING_MS) {
			this.#housekeepingMs = nowMs;
			this.#ledger.removeExpired(nowMs);
			this.#membership.removeTombstones(nowMs - TOMBSTONE_MS);
		}
	}

	#drain(): void {
		if (this.#drainMs === undefined) {
			this.#drainMs = this.#kernel.nowMs;
			this.#admission.drain();
			this.#gossip.publishDeparture('leaving');
			this.#kernel.log('draining', {running: this.#admission.running, queued: this.#admission.queued});
		}
	}

	#finishDrain(nowMs: number): void {
		if (this.#drainMs === undefined || nowMs - this.#drainMs < LAME_DUCK_MS) {
			return;
		}

		if (this.#admission.isEmpty && this.#ingress.pendingCount === 0) {
			this.#stopped = true;
			this.#gossip.publishDeparture('left');
			this.#directory.deregister();
			this.#kernel.emit({type: 'stopped'});
		}
	}

	#answer({peer, callId}: Origin, answer: Answer, tokens: number): void {
		if (peer === undefined) {
			this.#ingress.onAnswer(callId, answer, tokens);
			return;
		}

		const frame = this.#reports.buildAnswerFrame(peer, callId, answer, tokens);
		this.#kernel.emit({
			type: 'frame', peer, side: 'in', frame,
		});
	}

	#bounds() {
		return this.#config.catalog?.services.get(this.#admission.announcement?.service ?? '');
	}
}
