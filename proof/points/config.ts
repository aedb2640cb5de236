import {type ConfigObject, type ServiceSpec, serviceObjectName} from '../../src/core/index.js';
import {type WriteAnswer} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {type SimulatedService, CaseSimulation, createConfigObjects} from '../casesimulation.js';

const IN_FORCE_MS = 16_000;
const SAMPLE_MS = 200;
const OPERATORS = 3;
const OBJECT = serviceObjectName('front');
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 10, meanMs: 10}, calls: [['back/read']],
	},
	{
		name: 'back', upstreams: 4, target: {slots: 8, meanMs: 15}, calls: [],
	},
];

// Each version names its generation in an operation, so that what a daemon would
// do with a request tells which version it obeys.
function version(generation: number, operationId: string): ConfigObject {
	const base = createConfigObjects(SERVICES).find(({name}) => name === OBJECT)!.spec as ServiceSpec;
	const marker = {
		...base.operations[0], name: `generation-${generation}`, method: 'PUT', path: '/marker',
	};
	return {
		name: OBJECT, generation, operationId, spec: {...base, operations: [...base.operations, marker]},
	};
}

function inForce(world: CaseSimulation, host: string): number {
	const operation = world.site.core(host)?.explain({service: 'front', method: 'PUT', path: '/marker'}).operation;
	return operation === undefined ? 0 : Number(operation.split('-')[1]);
}

type Claim = {readonly operationId: string; readonly generation: number; readonly won: boolean};

// An operator as the command line behaves: read, write if unchanged, and settle a
// lost answer by reading back whose write stands.
function operate(world: CaseSimulation, operator: number, until: number, claims: Claim[]): void {
	const {site} = world;
	let edits = 0;
	const next = () => {
		if (site.nowMs < until) {
			site.scheduler.schedule(site.random.between(50, 900), edit);
		}
	};

	const edit = () => {
		site.platform.read(OBJECT, versions => {
			if (versions === undefined) {
				next();
				return;
			}

			const generation = versions.at(-1)!.generation + 1;
			const operationId = `operator ${operator} edit ${++edits}`;
			const claim = (won: boolean) => {
				claims.push({operationId, generation, won});
				next();
			};

			site.platform.write(version(generation, operationId), versions.length, answer => {
				settle(answer, operationId, claim);
			});
		});
	};

	const settle = (answer: WriteAnswer, operationId: string, claim: (won: boolean) => void) => {
		if (answer.kind === 'ok') {
			claim(true);
			return;
		}

		site.platform.read(OBJECT, versions => {
			if (versions === undefined) {
				site.scheduler.schedule(200, () => {
					settle(answer, operationId, claim);
				});
			} else {
				claim(versions.some(one => one.operationId === operationId));
			}
		});
	};

	next();
}

/** An accepted configuration is in force everywhere in time and never goes back. */
export const config: ProofPoint = {
	name: 'config',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'outage', 'slow-platform', 'stale-platform'], maxFaults: 5, networkFaults: true, requests: [1, 1], untilMs: 4000,
	},
	run(plan, sabotage) {
		const world = new CaseSimulation({plan, services: SERVICES, sabotage});
		const {site} = world;
		const claims: Claim[] = [];
		const violations: string[] = [];
		const highest = new Map<string, number>();
		site.platform.faults.loseAnswer = (plan.variant % 10) / 20;
		world.scheduleFaults();
		for (let operator = 0; operator < OPERATORS; operator++) {
			operate(world, operator, site.nowMs + 5000, claims);
		}

		const sample = () => {
			for (const host of site.ids) {
				const generation = inForce(world, host);
				const id = `${host} ${site.incarnation(host)}`;
				if (generation > 0 && generation < (highest.get(id) ?? 0)) {
					violations.push(`${host}: generation ${generation} after ${highest.get(id)}`);
				}

				highest.set(id, Math.max(generation, highest.get(id) ?? 0));
			}
		};

		for (let at = 0; at < 6000; at += SAMPLE_MS) {
			site.run(SAMPLE_MS);
			sample();
		}

		world.endFaultsAndRun(IN_FORCE_MS);
		sample();
		const newest = site.platform.newest(OBJECT)!;
		for (const host of site.ids) {
			if (site.isUp(host) && inForce(world, host) !== (newest.generation === 1 ? 0 : newest.generation)) {
				violations.push(`${host}: generation ${inForce(world, host)} in force ${IN_FORCE_MS} ms after ${newest.generation} was accepted`);
			}
		}

		violations.push(...raceFaults(world, claims));
		return {violations: violations.slice(0, 3), faultCounts: {...world.faultCounts, races: claims.filter(({won}) => !won).length}, requests: claims.length};
	},
	sabotage: {
		title: 'whatever version comes counts as the newest',
		apply(node) {
			let arrivals = 0;
			const raise = (objects: readonly ConfigObject[]) => objects.map(object => ({...object, generation: 1_000_000 + (++arrivals)}));
			return {
				explain: (question: Parameters<typeof node.explain>[0]) => node.explain(question),
				step(input, nowMs) {
					if (input.type === 'platform' && input.reply.op !== 'join') {
						const {reply} = input;
						return node.step({...input, reply: reply.op === 'load' ? {...reply, config: raise(reply.config)} : {...reply, objects: raise(reply.objects)}}, nowMs);
					}

					return node.step(input, nowMs);
				},
			};
		},
	},
};

function raceFaults({site}: CaseSimulation, claims: readonly Claim[]): string[] {
	const history = site.platform.history.get(OBJECT)!;
	const faults: string[] = [];
	for (const [index, {generation}] of history.entries()) {
		if (generation !== index + 1) {
			faults.push(`version ${index + 1} carries generation ${generation}`);
		}
	}

	for (const {operationId, generation, won} of claims) {
		if (won !== history.some(one => one.operationId === operationId && one.generation === generation)) {
			faults.push(`${operationId}: told ${won ? 'won' : 'lost'} generation ${generation}`);
		}
	}

	return faults;
}
