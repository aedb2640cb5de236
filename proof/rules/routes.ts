import {WebSocket} from 'ws';
import {Lifecycle, RouteTable, Splitter} from '../../src/mesh/index.js';
import {Directory} from '../../src/relay/directory.js';
import {Tag, encodeFrame} from '../../src/relay/frame.js';
import {PEER_PATH} from '../../src/relay/link.js';
import {type Mesh, route, siteOf} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget} from '../../standins/meshtarget.js';
import {
	type RuleCheck, broken, replace, send,
} from './check.js';

const {match} = RouteTable.prototype;
const {offerSite} = Directory.prototype;
/** How long a change of the configuration may take here, in ms. */
const CHANGE_MS = 400;
const SPLIT_REQUESTS = 120;

async function twoServices(mesh: Mesh) {
	const front = await mesh.add('front', {
		id: 'i-front', service: 'front', slots: 20, workMs: 1,
	});
	const back = await mesh.add('back', {
		id: 'i-back', service: 'back', slots: 20, workMs: 1,
	});
	await mesh.settle();
	return {front, back, port: front.settings.listen.requests.port};
}

async function pause(waitMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, waitMs);
	});
}

export const ROUTE_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'DENIED',
		async run(mesh) {
			mesh.configure(siteOf([route('x', 'back')]));
			const {port} = await twoServices(mesh);
			await send(port, '/x/', 'a1');
			mesh.configure(siteOf([route('x', 'back'), route('y', 'back')], 2));
			await pause(CHANGE_MS);
			const {status} = await send(port, '/y/', 'a2');
			return broken(status === 404, 'a route in force was answered 404');
		},
		sabotage: {
			title: 'the first table of routes stays in use',
			apply() {
				let first: RouteTable | undefined;
				return replace(RouteTable.prototype, 'match', function (this: RouteTable, host, url) {
					// eslint-disable-next-line @typescript-eslint/no-this-alias, unicorn/no-this-assignment -- it is the table that is kept
					first ??= this;
					return match.call(first, host, url);
				});
			},
		},
	},
	{
		rule: 'CONFIG',
		async run(mesh) {
			const old = siteOf([route('x', 'front')]);
			mesh.configure(old);
			const {front, port} = await twoServices(mesh);
			mesh.configure(siteOf([route('x', 'back')], 2));
			await pause(CHANGE_MS);
			const socket = new WebSocket(`ws://127.0.0.1:${front.settings.listen.peers.port}${PEER_PATH}`);
			await new Promise(resolve => {
				socket.once('open', resolve);
			});
			socket.send(encodeFrame([Tag.site, 1, old, []]));
			await pause(CHANGE_MS);
			socket.terminate();
			const {headers} = await send(port, '/x/', 'a1');
			return broken(headers[meshHeaders.signature] !== 'i-back/a1', 'an older configuration came into force again');
		},
		sabotage: {
			title: 'what a peer sends counts as the newest',
			apply: () => replace(Directory.prototype, 'offerSite', function (this: Directory, revision, value) {
				offerSite.call(this, revision + 1_000_000, value);
			}),
		},
	},
	{
		rule: 'ROUTE',
		async run(mesh) {
			mesh.configure(siteOf([route('x', 'back')]));
			const {back, port} = await twoServices(mesh);
			await send(port, '/x/', 'a1');
			mesh.store.trouble = 'down';
			mesh.store.wake();
			let runs = 0;
			back.target.misbehave = ({headers}, response) => {
				runs++;
				back.target.answer(response, String(headers[meshHeaders.attemptId]));
			};

			const other = new MeshTarget({
				id: 'i-other', service: 'back', slots: 4, workMs: 1,
			});
			await other.announceAs(back.target.port, back.settings.listen.announcements.port, 'ready', 2);
			await send(port, '/x/', 'a2');
			return broken(runs > 0, 'a target ran a request that was meant for the one before it');
		},
		sabotage: {
			title: 'the owner gives its target whatever comes',
			apply: () => replace(Lifecycle.prototype, 'mayServe', () => true),
		},
	},
	{
		rule: 'shares of a split',
		async run(mesh) {
			mesh.configure(siteOf([route('x', 'back', {destinations: [{service: 'front', weight: 1}, {service: 'back', weight: 3}]})]));
			const {back, port} = await twoServices(mesh);
			await Promise.all(Array.from({length: SPLIT_REQUESTS}, async (_, number) => send(port, '/x/', `a${number}`)));
			const share = back.target.ran.length / SPLIT_REQUESTS;
			return broken(Math.abs(share - 0.75) > 0.03, `a part of weight 0.75 got ${share.toFixed(2)}`);
		},
		sabotage: {
			title: 'the first part gets all',
			apply: () => replace(Splitter.prototype, 'choose', ({destinations}) => destinations[0].service),
		},
	},
];
