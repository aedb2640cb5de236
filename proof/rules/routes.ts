import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket} from 'ws';
import {
	TargetLifecycle, RouteTable, type SiteSpec, TrafficSplitter,
} from '../../src/mesh/index.js';
import {Directory} from '../../src/relay/store/directory.js';
import {FrameTag, encodeFrame} from '../../src/relay/peers/frame.js';
import {Gossip} from '../../src/relay/peers/gossip.js';
import {PEER_PATH} from '../../src/relay/peers/link.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget} from '../../standins/meshtarget.js';
import {
	type RuleCheck, violationIf, replaceMethod, sendAttempt,
} from './rulecheck.js';

const {match} = RouteTable.prototype;
const {offerSite} = Directory.prototype;
/** Time within which a configuration change takes effect in this mesh. */
const CHANGE_MS = 400;
const SPLIT_REQUESTS = 120;

// Gives each target enough slots for the concurrent requests of the split check.
const AMPLE_SLOTS = {front: {slots: 20}, back: {slots: 20}};

export const ROUTE_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'DENIED',
		async run(mesh) {
			const {port} = await mesh.addPair(AMPLE_SLOTS);
			await sendAttempt(port, '/x/', 'a1');
			mesh.configure(createSiteSpec([createRoute('x', 'back'), createRoute('y', 'back')], 2));
			await sleep(CHANGE_MS);
			const {status} = await sendAttempt(port, '/y/', 'a2');
			return violationIf(status === 404, 'a request for a configured route was answered 404');
		},
		sabotage: {
			title: 'the first route table stays in use',
			apply() {
				let first: RouteTable | undefined;
				return replaceMethod(RouteTable.prototype, 'match', function (this: RouteTable, host, url) {
					// eslint-disable-next-line @typescript-eslint/no-this-alias, unicorn/no-this-assignment -- the first table must be remembered
					first ??= this;
					return match.call(first, host, url);
				});
			},
		},
	},
	{
		rule: 'CONFIG',
		async run(mesh) {
			const old = createSiteSpec([createRoute('x', 'front')]);
			const {front, port} = await mesh.addPair({...AMPLE_SLOTS, routes: old.routes});
			mesh.configure(createSiteSpec([createRoute('x', 'back')], 2));
			await sleep(CHANGE_MS);
			const socket = new WebSocket(`ws://127.0.0.1:${front.settings.listen.peers.port}${PEER_PATH}`);
			await new Promise(resolve => {
				socket.once('open', resolve);
			});
			socket.send(encodeFrame([FrameTag.site, 1, old, []]));
			await sleep(CHANGE_MS);
			socket.terminate();
			const {headers} = await sendAttempt(port, '/x/', 'a1');
			return violationIf(headers[meshHeaders.signature] !== 'i-back/a1', 'an older configuration took effect again');
		},
		sabotage: {
			title: 'a configuration from a peer always counts as the newest',
			apply: () => replaceMethod(Directory.prototype, 'offerSite', function (this: Directory, value, revision) {
				const spec = value as SiteSpec;
				offerSite.call(this, {...spec, version: spec.version + 1_000_000}, revision);
			}),
		},
	},
	{
		rule: 'ROUTE',
		async run(mesh) {
			const {back, port} = await mesh.addPair(AMPLE_SLOTS);
			await sendAttempt(port, '/x/', 'a1');
			mesh.store.fault = 'down';
			mesh.store.wakeWatches();
			// The news of the change is on its way for as long as the check takes.
			const restore = replaceMethod(Gossip.prototype, 'floodRecords', () => undefined);
			let runs = 0;
			back.target.behaviourOverride = ({headers}, response) => {
				runs++;
				back.target.answer(response, String(headers[meshHeaders.attemptId]));
			};

			const other = new MeshTarget({
				id: 'i-other', service: 'back', slots: 4, workMs: 1,
			});
			await other.announceAs(back.target.port, back.settings.listen.announcements.port, 'ready', 2);
			await sendAttempt(port, '/x/', 'a2');
			restore();
			return violationIf(runs > 0, 'a target ran a request that was meant for its predecessor at the same address');
		},
		sabotage: {
			title: 'the owner passes every request to its target',
			apply: () => replaceMethod(TargetLifecycle.prototype, 'mayServe', () => true),
		},
	},
	{
		rule: 'shares of a split',
		async run(mesh) {
			const {back, port} = await mesh.addPair({...AMPLE_SLOTS, routes: [createRoute('x', 'back', {destinations: [{service: 'front', weight: 1}, {service: 'back', weight: 3}]})]});
			await Promise.all(Array.from({length: SPLIT_REQUESTS}, async (_, number) => sendAttempt(port, '/x/', `a${number}`)));
			const share = back.target.ranAttemptIds.length / SPLIT_REQUESTS;
			return violationIf(Math.abs(share - 0.75) > 0.03, `a destination with 0.75 of the weight got a share of ${share.toFixed(2)}`);
		},
		sabotage: {
			title: 'the first destination gets all requests',
			apply: () => replaceMethod(TrafficSplitter.prototype, 'choose', ({destinations}) => destinations[0].service),
		},
	},
];
