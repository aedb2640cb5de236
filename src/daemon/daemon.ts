import {randomInt} from 'node:crypto';
import {
	type Clock, SystemClock, afterSockets, sleep,
} from '../clock/index.js';
import {type Settings} from '../config/index.js';
import {
	DaemonCore, type Input, LAME_DUCK_MS, REFUSED_RETRY_AFTER_MS, createUnknownAnswer,
} from '../core/index.js';
import {ErrorLimit, Logger} from '../log/index.js';
import {MessageBus} from './messagebus.js';
import {ContextTokens} from './contexttokens.js';
import {HttpIdentity} from './httpidentity.js';
import {Endpoints} from './endpoints.js';
import {RequestServer} from './requestserver.js';
import {Metrics} from './metrics.js';
import {PeerLinks} from './peerlinks.js';
import {PlatformTask} from './platformtask.js';
import {TargetClient} from './targetclient.js';

const TICK_MS = 25;
const MAX_SEED = 2 ** 31;
/** Delay between the end of the last response and the closing of the peer links, in ms. */
const CLOSE_DELAY_MS = 200;

/** One daemon: connects the decision core to the tasks that own its sockets. */
export class Daemon {
	readonly #bus = new MessageBus(error => {
		if (!this.survivesUnexpectedError(error)) {
			throw error;
		}
	});

	readonly #errorLimit = new ErrorLimit();
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #core: DaemonCore;
	readonly #requestServer: RequestServer;
	readonly #peerLinks: PeerLinks;
	readonly #targetClient: TargetClient;
	readonly #platformTask: PlatformTask;
	readonly #metrics: Metrics | undefined;
	readonly #stopped: Promise<void>;
	#tickTimer: NodeJS.Timeout | undefined;
	/** Whether requests are refused before they reach the core. */
	#isRefusing = false;

	constructor(settings: Settings, clock: Clock = new SystemClock()) {
		const {id, listen, region, failureDomain, limits, platform, quarantineMs} = settings;
		this.#clock = clock;
		this.#log = new Logger(id, settings.log.level);
		this.#core = new DaemonCore({
			id,
			address: `${listen.host}:${listen.port}`,
			region,
			failureDomain,
			seed: randomInt(MAX_SEED),
			seeds: settings.seeds.map(seed => ({id: seed.id, address: `${seed.host}:${seed.port}`, startMs: 0})),
			ledgerCapacity: limits.ledgerKeys,
			...(quarantineMs !== undefined && {quarantine: {firstHoldMs: quarantineMs, identity: new HttpIdentity()}}),
		}, Math.floor(clock.nowMs()));
		const contextTokens = new ContextTokens();
		this.#targetClient = new TargetClient(this.#bus, contextTokens, limits.bodyBytes, () => clock.nowMs());
		const endpoints = new Endpoints({
			bus: this.#bus,
			host: listen.host,
			status: () => this.#core.status(),
			explain: question => this.#core.explain(question),
			onTargetAnnounced: (origin, connections) => {
				this.#targetClient.setOrigin(origin, connections);
			},
		});
		this.#requestServer = new RequestServer(this.#bus, contextTokens, this.#log, {
			...listen,
			...limits,
			handleOwnEndpoint(request, body, response) {
				endpoints.handle(request, body, response);
			},
		});
		this.#peerLinks = new PeerLinks(this.#bus, this.#log, id, settings.siteKey);
		this.#requestServer.onUpgrade((request, socket, head) => {
			this.#peerLinks.acceptUpgrade(request, socket, head);
		});
		this.#platformTask = new PlatformTask(this.#bus, this.#log, platform.url, platform.timeoutMs);
		this.#metrics = settings.metrics && new Metrics(settings.metrics, id, () => this.#core.status());
		this.#bus.handle('log', ({event, fields}) => {
			this.#log.info(event, fields);
		});
		this.#stopped = new Promise(resolve => {
			this.#bus.handle('stopped', () => {
				resolve();
			});
		});
		this.#bus.handleInputs(input => {
			this.#handleInput(input);
		});
	}

	/** Logs an error that no part has handled. @returns whether the daemon goes on: not after many in a short time */
	survivesUnexpectedError(error: Error): boolean {
		this.#log.error('unexpected_error', {reason: error.message, at: (error.stack ?? '').split('\n')[1]?.trim() ?? ''});
		return this.#errorLimit.record(this.#clock.nowMs());
	}

	async start(): Promise<void> {
		await this.#requestServer.listen();
		this.#tickTimer = setInterval(() => {
			afterSockets(() => {
				this.#bus.send({type: 'tick'});
			});
		}, TICK_MS);
		this.#log.info('started');
	}

	/** Drains the daemon: refuses new work, waits until the running requests finish, then closes the connections. */
	async stop(): Promise<void> {
		this.#bus.send({type: 'drain'});
		this.#requestServer.closeAfterResponses();
		await this.#waitForTarget();
		// The core stops once no request is open, which clients that keep sending would put off for ever.
		this.#isRefusing = true;
		await this.#stopped;
		// A successor waits for the address, and its links to peers end those of this daemon.
		await this.#requestServer.stopAccepting();
		clearInterval(this.#tickTimer);
		await this.#requestServer.waitForResponses();
		// What is half read by now is read to its end.
		await sleep(CLOSE_DELAY_MS);
		await this.#requestServer.waitForResponses();
		await this.#requestServer.waitForClients();
		this.#peerLinks.close();
		this.#platformTask.close();
		await this.#targetClient.close();
		await this.#metrics?.close();
		this.#log.info('stopped');
	}

	/** Waits for the end of the lame-duck time and of the calls at the own target, whose nested calls come to the request server. */
	async #waitForTarget(): Promise<void> {
		for (let waitedMs = 0; waitedMs < LAME_DUCK_MS || !this.#isTargetIdle(); waitedMs += TICK_MS) {
			// eslint-disable-next-line no-await-in-loop -- looks again after each tick
			await sleep(TICK_MS);
		}
	}

	#isTargetIdle(): boolean {
		const {running, queued} = this.#core.status();
		return running === 0 && queued === 0;
	}

	#handleInput(input: Input): void {
		if (this.#isRefusing && input.type === 'request') {
			this.#bus.publish({type: 'respond', id: input.id, answer: {outcome: 'not-run', reason: 'draining', retryAfterMs: REFUSED_RETRY_AFTER_MS}});
			return;
		}

		try {
			for (const output of this.#core.step(input, this.#clock.nowMs())) {
				this.#isRefusing ||= output.type === 'stopped';
				this.#bus.publish(output);
			}
		} catch (error) {
			if (input.type === 'request') {
				// How far the core came with the request is unknown, and nothing else would answer it.
				this.#bus.publish({type: 'respond', id: input.id, answer: createUnknownAnswer('lost')});
			}

			throw error;
		}
	}
}
