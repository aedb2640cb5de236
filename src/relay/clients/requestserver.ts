import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {sleep} from '../../clock/index.js';
import {
	type Authentication, type AuthenticationRefusal, type ClientLimits, type RevocationOptions, type Route, type Site, Authenticator, TrafficSplitter, readBearerKey,
} from '../../mesh/index.js';
import {
	type ClientErrorOutcome, type ListenPatience, HOP_BY_HOP_HEADERS, closeWhenIdle, stopListening, listen,
} from '../../wire/index.js';
import {type Call, type CallTemplate} from '../call.js';
import {type Address} from '../settings.js';
import {PeriodicCheck} from '../periodiccheck.js';
import {ClientConnection} from './clientconnection.js';
import {type ExchangeContext} from './exchangecontext.js';
import {Exchange} from './exchange.js';
import {HoldBudget} from './holdbudget.js';
import {hashPrefixOf} from './keyhash.js';
import {type QuotaGate} from './quotagate.js';

/** The largest header block accepted from a client, in bytes; the configuration can't raise it. */
const MAX_HEADER_BYTES = 65_536;
/** How often the heads that clients send are checked against their time limit, in ms: by so much a head may exceed it. */
const HEAD_CHECK_INTERVAL_MS = 1000;
/** The Retry-After value of a daemon that has no configuration yet, in s. */
const NO_SITE_RETRY_AFTER_S = '0.4';

/** The Retry-After value of a request whose organisation can't be told at present, in s. */
const UNAUTHENTICATED_RETRY_AFTER_S = '0.4';
/** Limits the answers that are held back until they are whole, in bytes. */
const MAX_HELD_BYTES = 16_777_216;

/** The part of the time that a stopping process has left in which it accepts the connections that have been opened to it; the rest is for their requests. */
const ACCEPT_SHARE = 0.5;

const AUTHORIZATION_HEADER = 'authorization';

/** Headers that apply to one connection only, or that this daemon sets itself. */
const NOT_FORWARDED_HEADERS = new Set([...HOP_BY_HOP_HEADERS, 'expect', 'content-length']);

export type RequestServerOptions = Omit<ExchangeContext, 'onBudget' | 'onTargetSignals' | 'onBeforeHead' | 'tryCloseAfter' | 'hasFollowers' | 'holdBudget' | 'tryDefer' | 'lastsUntil' | 'onEnded'> & {
	readonly site: () => Site | undefined;
	/** The service that currently runs on this host. */
	readonly callerService: () => string;
	/** Finds the run on this host that waits for a nested call with this attempt id. */
	readonly findParentCall: (attemptId: string) => Call | undefined;
	/** Whether the attempt id is that of a nested call, known here or not. */
	readonly isNestedCall: (attemptId: string) => boolean;
	/** How long ago the store confirmed the configuration, in ms. */
	readonly confirmationAgeMs: () => number;
	readonly revocation: RevocationOptions | undefined;
	readonly quotaGate: QuotaGate;
};

/** Accepts requests from the clients and the target on this host, over HTTP. */
export class RequestServer {
	readonly #options: RequestServerOptions;
	readonly #context: ExchangeContext;
	readonly #server: Server;
	readonly #splitter: TrafficSplitter;
	readonly #exchanges = new Set<Exchange>();
	readonly #connections = new Map<Socket, ClientConnection>();
	readonly #notForwarded: ReadonlySet<string>;
	/** Besides these, the headers that tell or prove an organisation, where the site has some. */
	readonly #notForwardedWithOrganisations: ReadonlySet<string>;
	readonly #authenticator: Authenticator;
	readonly #deadlineCheck = new PeriodicCheck(() => this.#checkDeadlines());
	#isStopping = false;
	/** When the requests that are still open are aborted; infinite until the server drains. */
	#endMs = Number.POSITIVE_INFINITY;

	constructor(options: RequestServerOptions) {
		this.#options = options;
		this.#splitter = new TrafficSplitter(options.random);
		this.#notForwarded = new Set([...NOT_FORWARDED_HEADERS, options.names.attemptId, options.names.deadlineMs, options.names.callerService, options.names.expectedInstance]);
		this.#notForwardedWithOrganisations = new Set([...this.#notForwarded, AUTHORIZATION_HEADER, options.names.organisation]);
		this.#authenticator = new Authenticator(options.revocation);
		this.#context = {
			...options,
			onBeforeHead: response => {
				this.#closeIfStopping(response);
			},
			onBudget({attemptId, service, route, level}, isGranted) {
				options.log.registry.count(isGranted ? 'budget_spent' : 'budget_denied', {service});
				if (!isGranted) {
					options.log.event('budget_denied', {
						attempt: attemptId, route: route.name, service, level,
					});
				}
			},
			onTargetSignals(host, {rateLimitPerS, isLeaving}) {
				options.log.event('peer_signals', {host, rateLimitPerS: rateLimitPerS ?? 'none', isLeaving});
			},
			holdBudget: new HoldBudget(MAX_HELD_BYTES),
			tryCloseAfter: response => this.#tryCloseAfter(response),
			hasFollowers: response => this.#connections.get(response.req.socket)?.hasFollowers(response) === true,
			tryDefer: (exchange, start) => this.#connections.get(exchange.socket)?.tryDefer(exchange, start) === true,
			lastsUntil: deadlineMs => deadlineMs <= this.#endMs,
			onEnded: exchange => {
				this.#exchanges.delete(exchange);
				this.#connections.get(exchange.socket)?.onExchangeEnded(exchange);
			},
		};
		this.#server = createServer({
			maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS, noDelay: true, requireHostHeader: false,
		}, (request, response) => {
			this.#onRequest(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			const connection = new ClientConnection(socket, () => options.clock.nowMs(), (outcome, code) => {
				this.#logClientError(connection, outcome, code);
			});
			this.#connections.set(socket, connection);
			socket.on('close', () => {
				this.#connections.delete(socket);
				this.#logLoss(connection);
				for (const exchange of connection.exchanges) {
					exchange.onClientDisconnected();
				}
			});
		});
		closeWhenIdle(this.#server, socket => {
			this.#connections.get(socket)?.close();
		});
		this.#server.on('connect', (_request: IncomingMessage, socket: Socket) => {
			this.#connections.get(socket)?.onTunnelRequest();
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#connections.get(socket)?.onClientError(error);
		});
	}

	get openConnections(): number {
		return this.#connections.size;
	}

	get openRequests(): number {
		return this.#exchanges.size;
	}

	async listen(address: Address, patience: ListenPatience): Promise<void> {
		await listen(this.#server, address, patience);
	}

	/** Applies the client limits of the current configuration. */
	applyLimits(limits: ClientLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** From now on, each answer closes its connection. */
	stop(): void {
		this.#isStopping = true;
	}

	/** Accepts no more connections, and no requests that may last longer than until `endMs`. */
	async drain(endMs: number): Promise<void> {
		this.#isStopping = true;
		this.#endMs = endMs;
		await stopListening(this.#server, (endMs - this.#options.clock.nowMs()) * ACCEPT_SHARE);
	}

	/** Closes the connections that aren't in use, once what has arrived on them is read. */
	async closeUnusedConnections(): Promise<void> {
		const unused = [...this.#connections.values()].filter(connection => !connection.isInUse());
		// After a turn that was held up, the next one reads what came meanwhile.
		await nextTurn();
		await nextTurn();
		for (const connection of unused) {
			connection.closeIfUnused();
		}
	}

	/**
	 * Aborts the requests that are still open and closes all connections, once the answers that wait on them are written. Resets those
	 * on which they aren't by then.
	 * @param maxMs how long it waits for that, in ms
	 */
	async close(maxMs: number): Promise<void> {
		for (const exchange of this.#exchanges) {
			exchange.abort();
		}

		const closed = [...this.#connections].map(async ([socket, connection]) => {
			connection.close();
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
		});
		await Promise.all([stopListening(this.#server, 0), Promise.race([Promise.all(closed), sleep(maxMs)])]);
		this.resetUnwritten();
	}

	/** Resets the connections with answers that aren't fully written: at the end of the process the kernel would close them as if they were. */
	resetUnwritten(): void {
		const unwritten = [...this.#connections].filter(([, {unansweredRequests}]) => unansweredRequests > 0);
		for (const [socket] of unwritten) {
			socket.resetAndDestroy();
		}

		if (unwritten.length > 0) {
			this.#options.log.event('answers_unwritten', {connections: unwritten.length});
		}
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		const {log, names, site: getSite} = this.#options;
		const connection = this.#connections.get(request.socket)!;
		if (connection.isClosing) {
			// The answer to an earlier request closes the connection, so this request counts as not read.
			connection.onIgnoredRequest();
			request.resume();
			return;
		}

		connection.onRequest(response);
		response.sendDate = false;
		const site = getSite();
		if (site === undefined) {
			this.#sendEmpty(response, 503, 'no-site', ['retry-after', NO_SITE_RETRY_AFTER_S]);
			return;
		}

		const {headers, url = ''} = request;
		const attemptId = headers[names.attemptId];
		const leftMs = Number(headers[names.deadlineMs] ?? Number.POSITIVE_INFINITY);
		// Node's parser lets a header without a name pass, which can't be sent on.
		if (!url.startsWith('/') || headers.host === undefined || typeof attemptId !== 'string' || Number.isNaN(leftMs) || headers[''] !== undefined) {
			this.#sendEmpty(response, 400, 'malformed');
			return;
		}

		const route = site.routeTable.match(headers.host, url);
		if (route === undefined) {
			this.#sendEmpty(response, 404, 'no-route');
			log.event('no_route', {attempt: attemptId, siteRevision: site.revision, target: url.slice(0, 80)});
			return;
		}

		const parentCall = this.#options.findParentCall(attemptId);
		const authentication = this.#authenticate(site, request, {route, attemptId, parentCall});
		if (!authentication.isAccepted) {
			this.#refuseUnauthenticated(response, authentication.reason, {route, attemptId, site});
			return;
		}

		const {organisation} = authentication;
		const rank = site.rankOrder.rankOf(organisation?.rank, route.rank);
		const service = this.#splitter.choose(route) ?? '';
		const exchange = new Exchange(this.#context, request, response, {
			route, service, attemptId, leftMs, parentCall, organisation: organisation?.name, template: this.#createTemplate(request, {site, route, rank}),
		});
		this.#exchanges.add(exchange);
		connection.exchanges.add(exchange);

		this.#deadlineCheck.schedule();
		const length = headers['content-length'];
		const hasBody = headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
		if (!exchange.isAdmitted) {
			this.#options.quotaGate.onShed(organisation?.name);
			exchange.shed();
			return;
		}

		// The root has paid for its nested calls.
		const decision = parentCall === undefined && route.isPublic !== true ? this.#options.quotaGate.tryAdmit(organisation?.name, rank, leftMs) : undefined;
		if (decision?.isAdmitted === false) {
			exchange.deny(decision.retryAfterMs);
		} else {
			exchange.start(hasBody, site.spec.limits.bodyBytes, decision?.giveBack);
		}
	}

	#authenticate(site: Site, request: IncomingMessage, {route, attemptId, parentCall}: {route: Route; attemptId: string; parentCall: Call | undefined}): Authentication {
		return this.#authenticator.authenticate(site, {
			route,
			authorization: request.headers.authorization,
			isNested: this.#options.isNestedCall(attemptId),
			parentCall,
			confirmationAgeMs: this.#options.confirmationAgeMs(),
		});
	}

	#refuseUnauthenticated(response: ServerResponse, reason: AuthenticationRefusal, {route, attemptId, site}: {route: Route; attemptId: string; site: Site}): void {
		const {authorization} = response.req.headers;
		this.#options.log.event('unauthenticated', {
			attempt: attemptId, route: route.name, reason, siteVersion: site.version, keyHash: authorization === undefined ? 'none' : hashPrefixOf(readBearerKey(authorization) ?? ''),
		});
		if (reason === 'unknown-key') {
			this.#sendEmpty(response, 401, reason, ['www-authenticate', 'Bearer']);
		} else {
			this.#sendEmpty(response, 503, reason, ['retry-after', UNAUTHENTICATED_RETRY_AFTER_S]);
		}
	}

	#createTemplate(request: IncomingMessage, {site, route, rank}: {site: Site; route: Route; rank: number}): CallTemplate {
		const headers: string[] = [];
		const notForwarded = site.organisations === undefined ? this.#notForwarded : this.#notForwardedWithOrganisations;
		const {rawHeaders} = request;
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			if (!notForwarded.has(rawHeaders[index].toLowerCase())) {
				headers.push(rawHeaders[index], rawHeaders[index + 1]);
			}
		}

		return {
			route: route.name, rank, repeatability: route.repeatability, method: request.method!, callerService: this.#options.callerService(), headers,
		};
	}

	/** Of clients that leave while no stop is under way, each of their requests has a line of its own. */
	#logLoss({loss}: ClientConnection): void {
		if (loss !== undefined && (this.#isStopping || loss.by === 'daemon')) {
			this.#options.log.event('connection_closed', {...loss, isStopping: this.#isStopping});
		}
	}

	#logClientError({unansweredRequests}: ClientConnection, outcome: ClientErrorOutcome, code: string): void {
		if (outcome !== 'in-time') {
			this.#options.log.registry.count('bad_input', {address: 'requests'});
		}

		this.#options.log.event('client_error', {code, outcome, unanswered: unansweredRequests});
	}

	#closeIfStopping(response: ServerResponse): void {
		if (this.#isStopping) {
			this.#tryCloseAfter(response);
		}
	}

	#tryCloseAfter(response: ServerResponse): boolean {
		return this.#connections.get(response.req.socket)?.tryCloseAfter(response) === true;
	}

	#sendEmpty(response: ServerResponse, status: number, reason: string, headers: string[] = []): void {
		this.#options.log.registry.count('rejected', {reason});
		this.#closeIfStopping(response);
		response.writeHead(status, [...headers, 'content-length', '0']);
		response.end();
	}

	#checkDeadlines(): boolean {
		const nowMs = this.#options.clock.nowMs();
		for (const exchange of this.#exchanges) {
			exchange.checkTime(nowMs);
		}

		return this.#exchanges.size > 0;
	}
}
