import {randomInt} from 'node:crypto';
import {type Clock, SystemClock} from '../clock/index.js';
import {type Settings} from '../config/index.js';
import {DaemonCore} from '../core/index.js';
import {Logger} from '../log/index.js';
import {MessageBus} from './messagebus.js';
import {ContextTokens} from './contexttokens.js';
import {Endpoints} from './endpoints.js';
import {RequestServer} from './requestserver.js';
import {Metrics} from './metrics.js';
import {PeerLinks} from './peerlinks.js';
import {PlatformTask} from './platformtask.js';
import {TargetClient} from './targetclient.js';

const TICK_MS = 25;
const MAX_SEED = 2 ** 31;
/** How long callers may still find the listener after the core has stopped, in ms. */
const CLOSE_MS = 200;

/** One daemon: the decision core and the tasks that own its sockets. */
export class Daemon {
	readonly #bus = new MessageBus();
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #node: DaemonCore;
	readonly #listener: RequestServer;
	readonly #peers: PeerLinks;
	readonly #target: TargetClient;
	readonly #store: PlatformTask;
	readonly #metrics: Metrics | undefined;
	readonly #stopped: Promise<void>;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: Settings, clock: Clock = new SystemClock()) {
		const {id, listen, region, failureDomain, limits, platform} = settings;
		this.#clock = clock;
		this.#log = new Logger(id, settings.log.level);
		this.#node = new DaemonCore({
			id,
			address: `${listen.host}:${listen.port}`,
			region,
			failureDomain,
			seed: randomInt(MAX_SEED),
			seeds: settings.seeds.map(seed => ({id: seed.id, address: `${seed.host}:${seed.port}`, startMs: 0})),
			ledgerCapacity: limits.ledgerKeys,
		}, Math.floor(clock.nowMs()));
		const contexts = new ContextTokens();
		this.#target = new TargetClient(this.#bus, contexts, limits.bodyBytes);
		const endpoints = new Endpoints({
			bus: this.#bus,
			host: listen.host,
			status: () => this.#node.status(),
			explain: question => this.#node.explain(question),
			onTargetAnnounced: (origin, connections) => {
				this.#target.setOrigin(origin, connections);
			},
		});
		this.#listener = new RequestServer(this.#bus, contexts, this.#log, {
			...listen,
			...limits,
			handleOwnEndpoint(request, body, response) {
				endpoints.handle(request, body, response);
			},
		});
		this.#peers = new PeerLinks(this.#bus, this.#log, id, settings.siteKey);
		this.#peers.acceptUpgrades(this.#listener.server);
		this.#store = new PlatformTask(this.#bus, this.#log, platform.url, platform.timeoutMs);
		this.#metrics = settings.metrics && new Metrics(settings.metrics, id, () => this.#node.status());
		void this.#bus.outputs('log').observe(({event, fields}) => {
			this.#log.info(event, fields);
		});
		this.#stopped = new Promise(resolve => {
			void this.#bus.outputs('stopped').observe(() => {
				resolve();
			});
		});
		void this.#bus.inputs.observe(input => {
			for (const output of this.#node.step(input, this.#clock.nowMs())) {
				this.#bus.publish(output);
			}
		});
	}

	async start(): Promise<void> {
		await this.#listener.listen();
		this.#timer = setInterval(() => {
			this.#bus.send({type: 'tick'});
		}, TICK_MS);
		this.#log.info('started');
	}

	/** Stops without cutting a request: no new work, then the end of what runs. */
	async stop(): Promise<void> {
		this.#bus.send({type: 'drain'});
		await this.#stopped;
		clearInterval(this.#timer);
		this.#listener.stopAccepting();
		await this.#listener.waitForResponses();
		await new Promise(resolve => {
			setTimeout(resolve, CLOSE_MS);
		});
		this.#peers.close();
		this.#store.close();
		await this.#target.close();
		await this.#metrics?.close();
		this.#log.info('stopped');
	}
}
