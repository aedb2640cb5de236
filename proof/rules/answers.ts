import {Buffer} from 'node:buffer';
import {Attempts} from '../../src/mesh/index.js';
import {OwnedCall} from '../../src/relay/target/ownedcall.js';
import {Run} from '../../src/relay/target/run.js';
import {type Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {type BehaviourOverride} from '../../standins/meshtarget.js';
import {
	type RuleCheck, violationIf, replaceMethod, sendAttempt,
} from './rulecheck.js';

// eslint-disable-next-line @typescript-eslint/no-deprecated -- the newer event of undici costs more for each answer
const {onHeaders, options} = Run.prototype;
const {cancel} = OwnedCall.prototype;

// Adds a client's host and two hosts whose targets answer with the given behaviour; returns the client host's request port.
async function startTwoBacks(mesh: Mesh, behaviour: BehaviourOverride) {
	mesh.configure(createSiteSpec([createRoute('x', 'back', {repeatability: 'unsafe'})]));
	const front = await mesh.addHost('front', {
		id: 'i-front', service: 'front', slots: 4, workMs: 1,
	});
	for (const name of ['1', '2']) {
		// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
		const {target} = await mesh.addHost(`back-${name}`, {
			id: `i-${name}`, service: 'back', slots: 4, workMs: 1,
		});
		target.behaviourOverride = behaviour;
	}

	await mesh.settle();
	return front.settings.listen.requests.port;
}

const resetConnection: BehaviourOverride = ({socket}) => {
	socket.resetAndDestroy();
};

export const ANSWER_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'MIXED',
		async run(mesh) {
			const port = await startTwoBacks(mesh, ({headers}, response) => {
				response.writeHead(200, {[meshHeaders.attemptId]: String(headers[meshHeaders.attemptId])});
				response.end('not the target\'s own');
			});
			const {status} = await sendAttempt(port, '/x/', 'a1', {method: 'POST'});
			return violationIf(status === 200, 'a success without a signature reached the client');
		},
		sabotage: {
			title: 'every answer counts as signed by the target',
			apply: () => replaceMethod(Run.prototype, 'onHeaders', function (this: Run, status, rawHeaders, resume, reason) {
				return onHeaders.call(this, status, [...rawHeaders, Buffer.from(meshHeaders.signature), Buffer.from('any')], resume, reason);
			}),
		},
	},
	{
		rule: 'UNASKED',
		async run(mesh) {
			const callers: unknown[] = [];
			const port = await startTwoBacks(mesh, ({headers}, response) => {
				callers.push(headers[meshHeaders.callerService]);
				response.end();
			});
			await sendAttempt(port, '/x/', 'a1', {method: 'POST', headers: {[meshHeaders.callerService]: 'another'}});
			return violationIf(callers[0] !== 'front', `the target was told that the caller is ${String(callers[0])}`);
		},
		sabotage: {
			title: 'the daemon doesn\'t set the header with the caller\'s service',
			apply: () => replaceMethod(Run.prototype, 'options', function (this: Run) {
				const sent = options.call(this);
				const headers = sent.headers as string[];
				return {...sent, headers: headers.toSpliced(headers.indexOf(meshHeaders.callerService), 2)};
			}),
		},
	},
	{
		rule: 'TWICE',
		async run(mesh) {
			let runs = 0;
			const port = await startTwoBacks(mesh, (request, response, body) => {
				runs++;
				resetConnection(request, response, body);
			});
			await sendAttempt(port, '/x/', 'a1', {method: 'POST'});
			return violationIf(runs > 1, `an unsafe request ran ${runs} times`);
		},
		sabotage: {
			title: 'every failed attempt is sent again',
			apply: () => replaceMethod(Attempts.prototype, 'mayResend', () => true),
		},
	},
	{
		rule: 'REFUSED',
		async run(mesh) {
			const port = await startTwoBacks(mesh, resetConnection);
			const {status} = await sendAttempt(port, '/x/', 'a1', {method: 'POST'});
			return violationIf(status === 503, 'a request that may have run was answered 503');
		},
		sabotage: {
			title: 'a run that failed is answered as not run',
			apply: () => replaceMethod(OwnedCall.prototype, 'onFailed', function (this: OwnedCall) {
				this.onNotRun('unreachable');
			}),
		},
	},
	{
		rule: 'REFUSED',
		async run(mesh) {
			const {port, back} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe', timeoutMs: 200})], back: {workMs: 1000}});
			const {status} = await sendAttempt(port, '/x/', 'a1', {method: 'POST'});
			return violationIf(status === 503 && back.target.receivedRequests.length > 0, 'a request that was running at its deadline was answered 503');
		},
		sabotage: {
			title: 'an owner says of each call that it takes back that it hasn\'t run',
			apply: () => replaceMethod(OwnedCall.prototype, 'cancel', function (this: OwnedCall) {
				cancel.call(this);
				return true;
			}),
		},
	},
];
