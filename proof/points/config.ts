import {type ConfigObject, type ServiceSpec, serviceObjectName} from '../../src/core/index.js';
import {type WriteAnswer} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {type SimulatedService, CaseSimulation, createConfigObjects} from '../casesimulation.js';

/** An accepted configuration must be in force on every running host within this time. */
const IN_FORCE_MS = 16_000;
const SAMPLE_MS = 200;
const OPERATORS = 3;
const OBJECT_NAME = serviceObjectName('front');
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 10, meanMs: 10}, calls: [['back/read']],
	},
	{
		name: 'back', upstreams: 4, target: {slots: 8, meanMs: 15}, calls: [],
	},
];

// Each version has an operation named after its generation, so `explain` shows which version a daemon applies.
function createVersion(generation: number, operationId: string): ConfigObject {
	const base = createConfigObjects(SERVICES).find(({name}) => name === OBJECT_NAME)!.spec as ServiceSpec;
	const marker = {
		...base.operations[0], name: `generation-${generation}`, method: 'PUT', path: '/marker',
	};
	return {
		name: OBJECT_NAME, generation, operationId, spec: {...base, operations: [...base.operations, marker]},
	};
}

function generationInForce(simulation: CaseSimulation, host: string): number {
	const operation = simulation.site.core(host)?.explain({service: 'front', method: 'PUT', path: '/marker'}).operation;
	return operation === undefined ? 0 : Number(operation.split('-')[1]);
}

type WriteResult = {readonly operationId: string; readonly generation: number; readonly won: boolean};

// Simulates an operator at the command line: reads, writes if unchanged, and after a lost
// answer reads back whether its own write was stored.
function simulateOperator(simulation: CaseSimulation, operator: number, until: number, results: WriteResult[]): void {
	const {site} = simulation;
	let edits = 0;
	const scheduleEdit = () => {
		if (site.nowMs < until) {
			site.scheduler.schedule(site.random.between(50, 900), edit);
		}
	};

	const edit = () => {
		site.platform.read(OBJECT_NAME, versions => {
			if (versions === undefined) {
				scheduleEdit();
				return;
			}

			const generation = versions.at(-1)!.generation + 1;
			const operationId = `operator ${operator} edit ${++edits}`;
			const record = (won: boolean) => {
				results.push({operationId, generation, won});
				scheduleEdit();
			};

			site.platform.write(createVersion(generation, operationId), versions.length, answer => {
				resolveAnswer(answer, operationId, record);
			});
		});
	};

	const resolveAnswer = (answer: WriteAnswer, operationId: string, record: (won: boolean) => void) => {
		if (answer.kind === 'ok') {
			record(true);
			return;
		}

		site.platform.read(OBJECT_NAME, versions => {
			if (versions === undefined) {
				site.scheduler.schedule(200, () => {
					resolveAnswer(answer, operationId, record);
				});
			} else {
				record(versions.some(one => one.operationId === operationId));
			}
		});
	};

	scheduleEdit();
}

/** An accepted configuration takes effect on every host in time, and no host returns to an older one. */
export const config: ProofPoint = {
	name: 'config',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'outage', 'slow-platform', 'stale-platform'], maxFaults: 5, networkFaults: true, requests: [1, 1], untilMs: 4000,
	},
	run(plan, sabotage) {
		const simulation = new CaseSimulation({plan, services: SERVICES, sabotage});
		const {site} = simulation;
		const results: WriteResult[] = [];
		const violations: string[] = [];
		const highestSeen = new Map<string, number>();
		site.platform.faults.loseAnswer = (plan.variant % 10) / 20;
		simulation.scheduleFaults();
		for (let operator = 0; operator < OPERATORS; operator++) {
			simulateOperator(simulation, operator, site.nowMs + 5000, results);
		}

		const checkHosts = () => {
			for (const host of site.ids) {
				const generation = generationInForce(simulation, host);
				const id = `${host} ${site.incarnation(host)}`;
				if (generation > 0 && generation < (highestSeen.get(id) ?? 0)) {
					violations.push(`${host}: generation ${generation} in force after generation ${highestSeen.get(id)}`);
				}

				highestSeen.set(id, Math.max(generation, highestSeen.get(id) ?? 0));
			}
		};

		for (let at = 0; at < 6000; at += SAMPLE_MS) {
			site.run(SAMPLE_MS);
			checkHosts();
		}

		simulation.endFaultsAndRun(IN_FORCE_MS);
		checkHosts();
		const newest = site.platform.newest(OBJECT_NAME)!;
		for (const host of site.ids) {
			if (site.isUp(host) && generationInForce(simulation, host) !== (newest.generation === 1 ? 0 : newest.generation)) {
				violations.push(`${host}: generation ${generationInForce(simulation, host)} in force ${IN_FORCE_MS} ms after generation ${newest.generation} was accepted`);
			}
		}

		violations.push(...findRaceViolations(simulation, results));
		return {violations: violations.slice(0, 3), faultCounts: {...simulation.faultCounts, races: results.filter(({won}) => !won).length}, requests: results.length};
	},
	sabotage: {
		title: 'any version that arrives counts as the newest',
		apply(core) {
			let arrivals = 0;
			const raiseGenerations = (objects: readonly ConfigObject[]) => objects.map(object => ({...object, generation: 1_000_000 + (++arrivals)}));
			return {
				explain: (question: Parameters<typeof core.explain>[0]) => core.explain(question),
				step(input, nowMs) {
					if (input.type === 'platform' && input.reply.op !== 'join') {
						const {reply} = input;
						return core.step({...input, reply: reply.op === 'load' ? {...reply, config: raiseGenerations(reply.config)} : {...reply, objects: raiseGenerations(reply.objects)}}, nowMs);
					}

					return core.step(input, nowMs);
				},
			};
		},
	},
};

function findRaceViolations({site}: CaseSimulation, results: readonly WriteResult[]): string[] {
	const history = site.platform.history.get(OBJECT_NAME)!;
	const violations: string[] = [];
	for (const [index, {generation}] of history.entries()) {
		if (generation !== index + 1) {
			violations.push(`version ${index + 1} has generation ${generation}`);
		}
	}

	for (const {operationId, generation, won} of results) {
		if (won !== history.some(one => one.operationId === operationId && one.generation === generation)) {
			violations.push(`${operationId}: the stored history contradicts the result "${won ? 'won' : 'lost'}" for generation ${generation}`);
		}
	}

	return violations;
}
