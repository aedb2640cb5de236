import {setTimeout as sleep} from 'node:timers/promises';
import {TargetLifecycle} from '../../src/mesh/index.js';
import {RequestServer} from '../../src/relay/requestserver.js';
import {Links} from '../../src/relay/links.js';
import {OwnedCall} from '../../src/relay/ownedcall.js';
import {type Mesh, createRoute} from '../../standins/mesh.js';
import {
	type RuleCheck, violationIf, replaceMethod, sendAttempt,
} from './rulecheck.js';

/** How long after its acknowledgement the stand-ins' targets may be given work, in ms. */
const DRAIN_MS = 1000;
/** Until when a target must hear of its caller's leaving, in ms. */
const GONE_MS = 500;
/** Until when a daemon that started again must serve, in ms. */
const RECOVER_MS = 2500;

async function frontAndBack(mesh: Mesh, workMs: number) {
	return mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'}), createRoute('y', 'front')], back: {workMs}});
}

export const LIFECYCLE_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'GONE',
		async run(mesh) {
			const {back, port} = await frontAndBack(mesh, 1);
			const hung = back.target.hang();
			await sendAttempt(port, '/x/', 'a1', {signal: AbortSignal.timeout(100)});
			await sleep(GONE_MS);
			return violationIf(hung.begun !== hung.closed, 'a target still worked for a client that had left');
		},
		sabotage: {
			title: 'owners aren\'t told',
			apply: () => replaceMethod(OwnedCall.prototype, 'cancel', () => undefined),
		},
	},
	{
		rule: 'LOST',
		async run(mesh) {
			const {front, port} = await frontAndBack(mesh, 300);
			const waiting = sendAttempt(port, '/x/', 'a1', {method: 'POST'});
			await sleep(100);
			await front.stop();
			const {status} = await waiting;
			return violationIf(status !== 200, `a planned stop ended a request that ran with ${status}`);
		},
		sabotage: {
			title: 'a stop closes what is open',
			apply: () => replaceMethod(RequestServer.prototype, 'stop', function (this: RequestServer) {
				this.close();
			}),
		},
	},
	{
		rule: 'DRAIN',
		async run(mesh) {
			const {back, port} = await frontAndBack(mesh, 1);
			await sendAttempt(port, '/x/', 'a1');
			mesh.store.fault = 'down';
			mesh.store.wakeWatches();
			await back.target.deregister(back.settings.listen.announcements.port);
			await sleep(DRAIN_MS);
			const before = back.target.ranAttemptIds.length;
			await sendAttempt(port, '/x/', 'a2');
			return violationIf(back.target.ranAttemptIds.length > before, 'a target that left was given work after its bound');
		},
		sabotage: {
			title: 'the owner doesn\'t look at the time',
			apply: () => replaceMethod(TargetLifecycle.prototype, 'mayServe', () => true),
		},
	},
	{
		rule: 'RECOVER',
		async run(mesh) {
			const {back, port} = await frontAndBack(mesh, 1);
			await sendAttempt(port, '/x/', 'a1');
			mesh.store.fault = 'down';
			mesh.store.wakeWatches();
			await back.stop();
			const {requests, peers, readiness, announcements} = back.settings.listen;
			mesh.hosts.splice(1, 1, await mesh.startDaemon('back', back.target, [requests.port, peers.port, readiness.port, announcements.port]));
			await sleep(RECOVER_MS);
			const {status} = await sendAttempt(requests.port, '/y/', 'a2');
			return violationIf(status !== 200, `a daemon that started again without the store answers ${status}`);
		},
		sabotage: {
			title: 'lost hosts aren\'t dialled',
			apply: () => replaceMethod(Links.prototype, 'redial', () => undefined),
		},
	},
];
