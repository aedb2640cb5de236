import {describe, expect, it} from 'vitest';
import {AdmissionController} from '../../src/core/admissioncontroller.js';
import {type Answer} from '../../src/core/answer.js';
import {CoreContext} from '../../src/core/corecontext.js';
import {type Call} from '../../src/core/frame.js';
import {Ledger} from '../../src/core/ledger.js';
import {Membership} from '../../src/core/membership.js';
import {type TargetResult} from '../../src/core/message.js';
import {Quarantine, type QuarantineNews} from '../../src/core/quarantine/index.js';
import {type IdentifiedRequest, RequestIdentity} from '../../src/core/requestidentity.js';

const HOLD_MS = 30_000;
const LOST: TargetResult = {kind: 'broken', isLost: true};
const WHOLE: TargetResult = {
	kind: 'whole', status: 200, payload: {}, claimsNotRun: false,
};

class NameIdentity extends RequestIdentity {
	override fingerprintOf({payload}: IdentifiedRequest): string {
		return payload as string;
	}

	override describe(request: IdentifiedRequest) {
		return {method: 'GET', path: this.fingerprintOf(request)};
	}

	override sizeOf(): number {
		return 0;
	}
}

const call = (name: string): Call => ({
	service: 's', operation: 'read', className: 'high', level: 0, floor: 0, root: name, idempotent: true, budgetMs: 1000, tokens: 0, payload: name,
});

/** The admission at one target, with what it has sent there, answered and told. */
class Owner {
	readonly context = new CoreContext(1, 1);
	readonly quarantine = new Quarantine(HOLD_MS);
	readonly answers = new Map<number, Answer>();
	readonly news: QuarantineNews[] = [];
	/** The ids of the runs at the target, by the name of their request. */
	readonly running = new Map<string, number>();
	readonly #admission: AdmissionController;
	#nextCallId = 1;

	constructor() {
		this.#admission = new AdmissionController({
			coreContext: this.context,
			ledger: new Ledger(0, 10),
			bounds: () => ({queueTargetMs: 500, queueLimitMs: 1000}),
			onEnded: () => undefined,
			answer: ({callId}, answer) => {
				this.answers.set(callId, answer);
			},
			quarantine: {
				quarantine: this.quarantine,
				identity: new NameIdentity(),
				target: 'host',
				membership: new Membership('r', 0),
				onNews: news => {
					this.news.push(news);
				},
			},
		});
		this.#announce();
	}

	/** @returns the id of the call */
	admit(name: string): number {
		const callId = this.#nextCallId++;
		this.#admission.admit({peer: 'p', callId}, call(name));
		this.#collect();
		return callId;
	}

	end(name: string, result: TargetResult): void {
		const id = this.running.get(name)!;
		this.running.delete(name);
		this.#admission.onResult(id, result);
		this.#collect();
	}

	cancel(callId: number): void {
		this.#admission.cancel({peer: 'p', callId});
	}

	pass(ms: number): void {
		this.context.nowMs += ms;
		this.#announce();
		this.#admission.tick();
		this.#collect();
	}

	/** Runs these together until the target crashes. */
	crash(...names: string[]): void {
		for (const name of names) {
			this.admit(name);
		}

		this.pass(10);
		for (const name of names) {
			this.end(name, LOST);
		}
	}

	#announce(): void {
		this.#admission.announce({
			service: 's', slots: 4, connections: 4, cold: false,
		});
	}

	#collect(): void {
		for (const output of this.context.takeOutputs()) {
			if (output.type === 'dispatch') {
				this.running.set(output.payload as string, output.id);
			}
		}
	}
}

const crashedRequests = ({news}: Owner) => news.flatMap(({crashes}) => crashes.map(({requests}) => requests));

describe('a crash of the target', () => {
	it('is that all runs in flight are lost, those just aborted among them', () => {
		const owner = new Owner();
		const left = owner.admit('left');
		owner.cancel(left);
		owner.end('left', {kind: 'broken', isLost: false});
		owner.crash('a', 'b');
		expect(crashedRequests(owner).map(requests => requests.toSorted())).toEqual([['a', 'b', 'left']]);
	});

	it('is not that one connection of several was closed', () => {
		const owner = new Owner();
		owner.admit('a');
		owner.admit('b');
		owner.pass(10);
		owner.end('a', LOST);
		owner.pass(60);
		owner.end('b', WHOLE);
		expect(owner.news).toEqual([]);
	});

	it('is not that another run was answered later', () => {
		const owner = new Owner();
		owner.admit('a');
		owner.admit('b');
		owner.pass(10);
		owner.end('a', LOST);
		owner.context.nowMs += 20;
		owner.end('b', WHOLE);
		expect(owner.news).toEqual([]);
	});

	it('is not that this daemon ended the connection', () => {
		const owner = new Owner();
		owner.admit('a');
		owner.end('a', {kind: 'broken', isLost: false});
		expect(owner.news).toEqual([]);
	});

	it('counts for no request that the target has answered since it started', () => {
		const owner = new Owner();
		owner.admit('a');
		owner.end('a', WHOLE);
		owner.crash('a', 'b');
		expect(crashedRequests(owner)).toEqual([['b']]);
	});
});

describe('a request that was in flight at two crashes', () => {
	it('runs alone, while others wait', () => {
		const owner = new Owner();
		owner.crash('deadly', 'a');
		owner.crash('deadly', 'b');
		owner.admit('c');
		const deadly = owner.admit('deadly');
		const next = owner.admit('d');
		expect([...owner.running.keys()]).toEqual(['c']);
		owner.end('c', WHOLE);
		expect([...owner.running.keys()]).toEqual(['deadly']);
		owner.pass(10);
		owner.end('deadly', WHOLE);
		expect([owner.answers.get(deadly)?.outcome, [...owner.running.keys()]]).toEqual(['complete', ['d']]);
		owner.end('d', WHOLE);
		expect([owner.answers.get(next)?.outcome, owner.quarantine.isIdle]).toEqual(['complete', false]);
	});

	it('is refused for a while if it is lost alone, and tried again after that', () => {
		const owner = new Owner();
		owner.crash('deadly', 'a');
		owner.crash('deadly', 'b');
		owner.crash('deadly');
		owner.pass(1000);
		const held = owner.admit('deadly');
		expect(owner.answers.get(held)).toMatchObject({outcome: 'not-run', reason: 'quarantined', retryAfterMs: HOLD_MS - 1000});
		owner.pass(HOLD_MS);
		owner.admit('deadly');
		expect([...owner.running.keys()]).toEqual(['deadly']);
		owner.end('deadly', WHOLE);
		expect(owner.quarantine.isHeld('deadly')).toBe(false);
	});

	it('keeps others waiting for a moment if its caller leaves while it runs alone, as the target may still crash of it', () => {
		const owner = new Owner();
		owner.crash('deadly', 'a');
		owner.crash('deadly', 'b');
		const deadly = owner.admit('deadly');
		owner.admit('c');
		owner.cancel(deadly);
		owner.end('deadly', {kind: 'broken', isLost: true});
		expect([...owner.running.keys()]).toEqual([]);
		owner.pass(150);
		expect([...owner.running.keys()]).toEqual(['c']);
	});

	it('keeps nobody waiting once its caller has left', () => {
		const owner = new Owner();
		owner.crash('deadly', 'a');
		owner.crash('deadly', 'b');
		owner.admit('c');
		const left = owner.admit('deadly');
		owner.cancel(left);
		expect(owner.answers.get(left)).toMatchObject({outcome: 'not-run', reason: 'cancelled'});
		owner.admit('d');
		expect([...owner.running.keys()]).toEqual(['c', 'd']);
	});
});
