import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {
	Attempts, HostTable, LoadBalancer, type Route,
} from '../../src/mesh/index.js';
import {Exchange} from '../../src/relay/clients/exchange.js';
import {Link} from '../../src/relay/peers/link.js';
import {Links} from '../../src/relay/peers/links.js';
import {type CutAction, CutProxy, type Direction} from '../../standins/cutproxy.js';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget, call} from '../../standins/meshtarget.js';

const DEADLINE_MS = 700;
const BACKS = ['back-1', 'back-2'];
const HOPS = ['client', 'peers', 'target'] as const;
type Hop = (typeof HOPS)[number];
/** How a call is lost; `first-dies` and `owner-dies` close all connections of that daemon in place of the chunk. */
const LOSSES = ['before', 'half', 'after', 'silent', 'first-dies', 'owner-dies'] as const;
type Loss = (typeof LOSSES)[number];

class ProxiedTarget extends MeshTarget {
	readonly #proxy: CutProxy;

	constructor(proxy: CutProxy, id: string) {
		super({
			id, service: 'back', slots: 8, workMs: 5,
		});
		this.#proxy = proxy;
	}

	override get port(): number {
		return this.#proxy.port;
	}

	override async listen(): Promise<void> {
		await super.listen();
		this.#proxy.toPort = super.port;
	}
}

let mesh: Mesh;
let proxies: Record<Hop, CutProxy[]>;
afterEach(async () => {
	vi.restoreAllMocks();
	await mesh.close();
	for (const proxy of Object.values(proxies).flat()) {
		proxy.close();
	}
});

/** A daemon beside its clients, and two beside targets of one service, with a proxy on each connection between them. */
async function startMesh(repeatability: Route['repeatability']): Promise<MeshHost[]> {
	// A budget that refuses no retry.
	mesh = new Mesh({retry: {ratio: 1, slack: 10_000, windowMs: 1000}});
	const listening = async (count: number) => Promise.all(Array.from({length: count}, async () => new CutProxy().listen()));
	proxies = {client: await listening(1), peers: await listening(BACKS.length), target: await listening(BACKS.length)};
	// Whether daemons learn of a host from the store or from peers, they reach it through its proxy.
	const {put} = HostTable.prototype;
	vi.spyOn(HostTable.prototype, 'put').mockImplementation(function (this: HostTable, entry, revision) {
		const index = BACKS.indexOf(entry.host);
		return put.call(this, index === -1 ? entry : {...entry, address: `127.0.0.1:${proxies.peers[index].port}`}, revision);
	});
	mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability, timeoutMs: DEADLINE_MS})]));
	const front = await mesh.addHost('front', {
		id: 'i-front', service: 'front', slots: 4, workMs: 5,
	});
	proxies.client[0].toPort = front.settings.listen.requests.port;
	const hosts: MeshHost[] = [];
	for (const [index, name] of BACKS.entries()) {
		// eslint-disable-next-line no-await-in-loop -- hosts join one after the other
		const host = await mesh.addHostOf(name, new ProxiedTarget(proxies.target[index], `i-${name}`));
		proxies.peers[index].toPort = host.settings.listen.peers.port;
		hosts.push(host);
	}

	await mesh.settle();
	return hosts;
}

function actionOf(loss: Loss): CutAction {
	const dying: Partial<Record<Loss, Hop[]>> = {'first-dies': ['client', 'peers'], 'owner-dies': ['peers', 'target']};
	const hops = dying[loss];
	if (hops === undefined) {
		return loss as CutAction;
	}

	return () => {
		for (const proxy of hops.flatMap(hop => proxies[hop])) {
			proxy.closeAll();
		}
	};
}

type Outcome = {readonly id: string; readonly status: number; readonly signature: unknown; readonly isCut: boolean};

async function loseCall(hop: Hop, direction: Direction, loss: Loss): Promise<Outcome> {
	const id = `${hop}-${direction}-${loss}`;
	const cut = {
		direction, text: id, action: actionOf(loss), isDone: false,
	};
	for (const proxy of proxies[hop]) {
		proxy.cut = cut;
	}

	const signal = AbortSignal.timeout(DEADLINE_MS * 2);
	const {status, headers} = await call(proxies.client[0].port, '/x/', {method: 'POST', headers: createAttemptHeaders(id, DEADLINE_MS), signal});
	if (loss === 'silent') {
		// Otherwise the next call could meet the silent connection before its own loss.
		for (const proxy of proxies[hop]) {
			proxy.closeAll();
		}
	}

	return {
		id, status, signature: headers[meshHeaders.signature], isCut: cut.isDone,
	};
}

async function untilServes(): Promise<void> {
	await expect.poll(async () => {
		const {status} = await call(proxies.client[0].port, '/x/', {headers: createAttemptHeaders(`after-${Math.random()}`, DEADLINE_MS)});
		return status;
	}, {timeout: 5000, interval: 20}).toBe(200);
}

/** Loses calls at one hop in every way. */
async function loseCalls(hop: Hop, losses: readonly Loss[] = LOSSES): Promise<Outcome[]> {
	const outcomes: Outcome[] = [];
	for (const direction of ['request', 'answer'] as const) {
		for (const loss of losses) {
			// eslint-disable-next-line no-await-in-loop -- a loss ends calls beside it
			await untilServes();
			// eslint-disable-next-line no-await-in-loop -- as above
			outcomes.push(await loseCall(hop, direction, loss));
		}
	}

	// Whatever is still under way arrives.
	await sleep(100);
	return outcomes;
}

/** Lists what no caller may see: work that ran twice, work that ran though its caller was told that it hadn't, another's answer. */
function findFaults(outcomes: readonly Outcome[], hosts: readonly MeshHost[], maxRuns: number): string[] {
	return outcomes.flatMap(({id, status, signature}) => {
		const runs = hosts.flatMap(({target}) => target.ranAttemptIds).filter(other => other === id).length;
		const isOwn = status !== 200 || (runs > 0 && String(signature).endsWith(`/${id}`));
		return [
			...(runs > maxRuns ? [`${id}: ran ${runs} times`] : []),
			...(status === 503 && runs > 0 ? [`${id}: ran, told that it hadn't`] : []),
			...(isOwn ? [] : [`${id}: answered with ${String(signature)}`]),
		];
	});
}

describe('an answer that is lost', () => {
	it.each(HOPS)('of unsafe work has no second run, and nobody is told that it has not run: %s', async hop => {
		const hosts = await startMesh('unsafe');
		const outcomes = await loseCalls(hop);
		expect(outcomes.filter(({isCut}) => !isCut)).toEqual([]);
		expect(findFaults(outcomes, hosts, 1)).toEqual([]);
		expect(outcomes.filter(({status}) => ![0, 200, 502, 503, 504].includes(status))).toEqual([]);
		// Only a caller whose own connection broke, or whose daemon died, hears nothing.
		expect(outcomes.filter(({id, status}) => status === 0 && hop !== 'client' && !id.endsWith('first-dies'))).toEqual([]);
	});

	it.each([['peers', ['after']], ['target', ['before', 'half', 'after']]] as const)('of safe work is got from another target: %s', async (hop, losses) => {
		const hosts = await startMesh('safe');
		const outcomes = await loseCalls(hop, losses);
		expect(findFaults(outcomes, hosts, 2)).toEqual([]);
		expect(outcomes.filter(({status}) => status !== 200)).toEqual([]);
	});
});

describe('a link that falls silent', () => {
	it('gets no more calls while the peer owes a sign of life, before it ends', async () => {
		await startMesh('unsafe');
		await untilServes();
		const avoided = vi.spyOn(LoadBalancer.prototype, 'markUnreachable');
		const stalled = vi.spyOn(Links.prototype, 'onStalled');
		const send = async (id: string) => call(proxies.client[0].port, '/x/', {method: 'POST', headers: createAttemptHeaders(id, DEADLINE_MS)});
		const cut = {
			direction: 'request', text: 'early', action: 'silent', isDone: false,
		} as const;
		for (const proxy of proxies.peers) {
			proxy.cut = cut;
		}

		const early: Array<ReturnType<typeof send>> = [];
		while (stalled.mock.calls.length === 0) {
			early.push(send(`early-${early.length}`));
			// eslint-disable-next-line no-await-in-loop -- one call after the other, until the link has been silent for long enough
			await sleep(20);
		}

		expect(avoided.mock.calls.map(([host]) => host)).toContain(stalled.mock.calls[0][0].host);
		const answers = await Promise.all(Array.from({length: 8}, async (_, index) => send(`late-${index}`)));
		expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
		await Promise.all(early);
	}, 10_000);
});

describe('the check of lost answers reports', () => {
	it.each(['peers', 'target'] as const)('unsafe work that is sent again: %s', async hop => {
		const hosts = await startMesh('unsafe');
		vi.spyOn(Attempts.prototype, 'mayResend').mockReturnValue(true);
		expect(findFaults(await loseCalls(hop, ['before', 'after']), hosts, 1).join('\n')).toMatch(/ran [2-9] times/v);
	});

	it.each(['peers', 'target'] as const)('a failure that counts as not run: %s', async hop => {
		const hosts = await startMesh('unsafe');
		vi.spyOn(Exchange.prototype, 'onFailed').mockImplementation(function (this: Exchange) {
			this.shed();
		});
		expect(findFaults(await loseCalls(hop, ['before', 'after']), hosts, 1).join('\n')).toMatch(/told that it hadn't/v);
	});

	it('a call that counts as never sent once its time is over', async () => {
		const hosts = await startMesh('unsafe');
		const {call: send} = Link.prototype;
		vi.spyOn(Link.prototype, 'call').mockImplementation(function (this: Link, ...options) {
			const handle = send.apply(this, options);
			const cancel = handle.cancel.bind(handle);
			handle.cancel = () => cancel() || true;
			return handle;
		});
		expect(findFaults(await loseCalls('peers', ['silent']), hosts, 1).join('\n')).toMatch(/told that it hadn't/v);
	});
});
