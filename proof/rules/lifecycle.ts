import {setTimeout as sleep} from 'node:timers/promises';
import {TargetLifecycle} from '../../src/mesh/index.js';
import {RequestServer} from '../../src/relay/clients/requestserver.js';
import {Links} from '../../src/relay/peers/links.js';
import {OwnedCall} from '../../src/relay/target/ownedcall.js';
import {type Mesh, createRoute} from '../../standins/mesh.js';
import {MeshTarget} from '../../standins/meshtarget.js';
import {
	type RuleCheck, violationIf, replaceMethod, sendAttempt,
} from './rulecheck.js';

/** A target may be given work for this long after its deregistration was acknowledged. */
const DRAIN_MS = 1000;
/** A target must learn within this time that its caller disconnected. */
const GONE_MS = 500;
/** A restarted daemon must serve requests within this time. */
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
			return violationIf(hung.begun !== hung.closed, 'a target still worked for a client that had disconnected');
		},
		sabotage: {
			title: 'the owner of a call isn\'t told of its cancellation',
			apply: () => replaceMethod(OwnedCall.prototype, 'cancel', () => false),
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
			return violationIf(status !== 200, `a planned stop ended a running request with status ${status}, expected 200`);
		},
		sabotage: {
			title: 'a stop closes open connections at once',
			apply: () => replaceMethod(RequestServer.prototype, 'stop', function (this: RequestServer) {
				void this.close(0);
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
			return violationIf(back.target.ranAttemptIds.length > before, 'a deregistered target was given work after the drain time');
		},
		sabotage: {
			title: 'the owner ignores the drain time',
			apply: () => replaceMethod(TargetLifecycle.prototype, 'mayServe', () => true),
		},
	},
	{
		rule: 'DRAIN, across a restart',
		settings: {isFirstStart: false},
		async run(mesh) {
			const {back, port} = await frontAndBack(mesh, 1);
			await sendAttempt(port, '/x/', 'a1');
			const {target, settings: {listen}} = back;
			target.announce = async announcements => MeshTarget.prototype.announce.call(target, announcements, 'draining');
			await target.announce(listen.announcements.port);
			await sleep(DRAIN_MS);
			await back.stop();
			const ports = [listen.requests, listen.peers, listen.readiness, listen.announcements].map(address => address.port);
			mesh.hosts.splice(1, 1, await mesh.startDaemon('back', target, ports));
			const before = target.ranAttemptIds.length;
			await sendAttempt(port, '/x/', 'a2', {deadlineMs: 500});
			return violationIf(target.ranAttemptIds.length > before, 'a draining target was given work again after its daemon had restarted');
		},
		sabotage: {
			title: 'a daemon that restarts lets the drain begin anew',
			apply() {
				const {announce} = TargetLifecycle.prototype;
				const undos = [
					replaceMethod(TargetLifecycle.prototype, 'restoreDrained', () => false),
					replaceMethod(TargetLifecycle.prototype, 'announce', function (this: TargetLifecycle, next, nowMs) {
						if (this.current === undefined) {
							announce.call(this, {...next, state: 'ready', seq: next.seq - 1}, nowMs);
						}

						return announce.call(this, next, nowMs);
					}),
				];
				return () => {
					for (const undo of undos) {
						undo();
					}
				};
			},
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
			return violationIf(status !== 200, `a daemon that restarted without the store answered ${status}, expected 200`);
		},
		sabotage: {
			title: 'lost hosts aren\'t redialled',
			apply: () => replaceMethod(Links.prototype, 'redial', () => undefined),
		},
	},
];
