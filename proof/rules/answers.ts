import {Attempts} from '../../src/mesh/index.js';
import {OwnedCall} from '../../src/relay/ownedcall.js';
import {Run} from '../../src/relay/targetclient.js';
import {type Mesh, route, siteOf} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {type Misbehaviour} from '../../standins/meshtarget.js';
import {
	type RuleCheck, broken, replace, send,
} from './check.js';

const {onResponseStart, options} = Run.prototype;

// A client on one host, and two targets on others that answer as told.
async function twoBacks(mesh: Mesh, misbehave: Misbehaviour) {
	mesh.configure(siteOf([route('x', 'back', {repeatability: 'unsafe'})]));
	const front = await mesh.add('front', {
		id: 'i-front', service: 'front', slots: 4, workMs: 1,
	});
	for (const name of ['1', '2']) {
		// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
		const {target} = await mesh.add(`back-${name}`, {
			id: `i-${name}`, service: 'back', slots: 4, workMs: 1,
		});
		target.misbehave = misbehave;
	}

	await mesh.settle();
	return front.settings.listen.requests.port;
}

const reset: Misbehaviour = ({socket}) => {
	socket.resetAndDestroy();
};

export const ANSWER_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'MIXED',
		async run(mesh) {
			const port = await twoBacks(mesh, ({headers}, response) => {
				response.writeHead(200, {[meshHeaders.attemptId]: String(headers[meshHeaders.attemptId])});
				response.end('not the target\'s own');
			});
			const {status} = await send(port, '/x/', 'a1', {method: 'POST'});
			return broken(status === 200, 'a success without a signature reached the client');
		},
		sabotage: {
			title: 'every answer counts as signed',
			apply: () => replace(Run.prototype, 'onResponseStart', function (this: Run, controller, status, headers) {
				onResponseStart.call(this, controller, status, {...headers, [meshHeaders.signature]: 'any'});
			}),
		},
	},
	{
		rule: 'UNASKED',
		async run(mesh) {
			const callers: unknown[] = [];
			const port = await twoBacks(mesh, ({headers}, response) => {
				callers.push(headers[meshHeaders.callerService]);
				response.end();
			});
			await send(port, '/x/', 'a1', {method: 'POST', headers: {[meshHeaders.callerService]: 'another'}});
			return broken(callers[0] !== 'front', `the target was told of the caller ${String(callers[0])}`);
		},
		sabotage: {
			title: 'the caller\'s service isn\'t set',
			apply: () => replace(Run.prototype, 'options', function (this: Run) {
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
			const port = await twoBacks(mesh, (request, response, body) => {
				runs++;
				reset(request, response, body);
			});
			await send(port, '/x/', 'a1', {method: 'POST'});
			return broken(runs > 1, `an unsafe request ran ${runs} times`);
		},
		sabotage: {
			title: 'whatever failed is sent again',
			apply: () => replace(Attempts.prototype, 'mayResend', () => true),
		},
	},
	{
		rule: 'REFUSED',
		async run(mesh) {
			const port = await twoBacks(mesh, reset);
			const {status} = await send(port, '/x/', 'a1', {method: 'POST'});
			return broken(status === 503, 'a request that may have run was answered 503');
		},
		sabotage: {
			title: 'a broken run counts as not run',
			apply: () => replace(OwnedCall.prototype, 'onFailed', function (this: OwnedCall) {
				this.onNotRun('unreachable');
			}),
		},
	},
];
