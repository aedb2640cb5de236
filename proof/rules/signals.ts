import {setTimeout as sleep} from 'node:timers/promises';
import {AdmissionQueue, TargetLifecycle, TargetSignalTable} from '../../src/mesh/index.js';
import {
	createRoute, createSiteSpec, type Mesh, type MeshHost,
} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {
	type RuleCheck, type Undo, replaceMethod, sendAttempt, violationIf,
} from './rulecheck.js';

const LIMIT_PER_S = 5;
const WINDOW_S = 4;
/** The most requests that the rule allows in a window. */
const ALLOWED_REQUESTS = (1.5 * LIMIT_PER_S * WINDOW_S) + 5;
const REQUEST_INTERVAL_MS = 20;
/** The drain time of the stand-ins' site. */
const DRAIN_MS = 1000;
const BATCH = 40;

/** Adds two hosts for clients, and two copies of the service that the route `x` leads to. */
async function addHosts(mesh: Mesh): Promise<{clients: MeshHost[]; targets: Array<MeshHost['target']>}> {
	mesh.configure(createSiteSpec([createRoute('x', 'back')]));
	const hosts: MeshHost[] = [];
	for (const [name, service] of [['client-1', 'front'], ['client-2', 'front'], ['copy-1', 'back'], ['copy-2', 'back']]) {
		// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
		hosts.push(await mesh.addHost(name, {
			id: `i-${name}`, service, slots: 10, workMs: 50,
		}));
	}

	await mesh.settle();
	return {clients: hosts.slice(0, 2), targets: hosts.slice(2).map(({target}) => target)};
}

/** Sends requests through the hosts by turns. */
async function sendAll(count: number, intervalMs: number, clients: readonly MeshHost[]): Promise<void> {
	const answers: Array<Promise<unknown>> = [];
	for (let number = 0; number < count; number++) {
		const {port} = clients[number % clients.length].settings.listen.requests;
		answers.push(sendAttempt(port, '/x/', `${Date.now()}-${number}`));
		// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
		await sleep(intervalMs);
	}

	await Promise.all(answers);
}

/** Checks the rules on what targets say of themselves in their answers. */
export const SIGNAL_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'LIMIT',
		async run(mesh) {
			const {clients, targets} = await addHosts(mesh);
			for (const target of targets) {
				target.extraHeaders = {[meshHeaders.rateLimit]: String(LIMIT_PER_S)};
			}

			await sendAll(1000 / REQUEST_INTERVAL_MS, REQUEST_INTERVAL_MS, clients);
			const before = targets.map(target => target.receivedRequests.length);
			await sendAll(WINDOW_S * 1000 / REQUEST_INTERVAL_MS, REQUEST_INTERVAL_MS, clients);
			// Which of the copies gets more is the balancer's choice.
			const received = Math.max(...targets.map((target, index) => target.receivedRequests.length - before[index]));
			return violationIf(received > ALLOWED_REQUESTS, `${received} requests in ${WINDOW_S} s at a target that had named ${LIMIT_PER_S} a second`);
		},
		sabotage: {
			title: 'the owner ignores the rate limit that its target names',
			apply: () => replaceMethod(AdmissionQueue.prototype, 'setRateLimit', () => undefined),
		},
	},
	{
		rule: 'DRAIN, by answers',
		async run(mesh) {
			const {clients, targets: [target]} = await addHosts(mesh);
			target.extraHeaders = {[meshHeaders.leaving]: '1'};
			await sendAll(BATCH, 1, clients);
			await sleep(DRAIN_MS);
			const before = target.receivedRequests.length;
			await sendAll(BATCH, 1, clients);
			const received = target.receivedRequests.length - before;
			return violationIf(received > 0, `${received} requests after the drain time of a target whose answers said that it leaves`);
		},
		sabotage: {
			title: 'neither the owner nor the first daemons hear that the target leaves',
			apply(): Undo {
				const undos = [
					replaceMethod(TargetLifecycle.prototype, 'startDrain', () => false),
					replaceMethod(TargetSignalTable.prototype, 'hasLeft', () => false),
				];
				return () => {
					for (const undo of undos) {
						undo();
					}
				};
			},
		},
	},
];
