import {expect, it} from 'vitest';
import {DaemonCore, type Output} from '../../src/core/index.js';
import {createConfigObjects} from '../../proof/casesimulation.js';

const joinRecords = Array.from({length: 12}, (_, at) => ({id: `old-${at}`, address: `old-${at}`, startMs: 0}));
const services = [{
	name: 's', upstreams: 1, target: {slots: 1, meanMs: 1}, calls: [],
}];

it('is not ready until a peer has answered or all known peers have been tried', () => {
	const core = new DaemonCore({
		id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1,
	}, 1);
	const tried = new Set<string>();
	let dialled: string[] = [];
	const recordDials = (outputs: readonly Output[]) => {
		for (const output of outputs) {
			if (output.type === 'connect') {
				tried.add(output.peer);
				dialled.push(output.peer);
			}
		}
	};

	recordDials(core.step({
		type: 'platform', reply: {
			op: 'load', ok: true, config: createConfigObjects(services), joins: joinRecords,
		},
	}, 2));
	while (dialled.length > 0) {
		expect(core.status().isReady).toBe(false);
		const [peer, ...rest] = dialled;
		dialled = rest;
		recordDials(core.step({
			type: 'link', peer, side: 'out', up: false,
		}, 3));
	}

	expect(tried.size).toBe(joinRecords.length);
	expect(core.status().isReady).toBe(true);
});
