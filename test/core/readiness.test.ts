import {expect, it} from 'vitest';
import {DaemonCore, type Output} from '../../src/core/index.js';
import {configFor} from '../../proof/world.js';

const joins = Array.from({length: 12}, (_, at) => ({id: `old-${at}`, address: `old-${at}`, startMs: 0}));
const services = [{
	name: 's', upstreams: 1, target: {slots: 1, meanMs: 1}, calls: [],
}];

it('is not ready before a peer has answered, as long as there are others to ask', () => {
	const node = new DaemonCore({
		id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1,
	}, 1);
	const tried = new Set<string>();
	let open: string[] = [];
	const dial = (outputs: readonly Output[]) => {
		for (const output of outputs) {
			if (output.type === 'connect') {
				tried.add(output.peer);
				open.push(output.peer);
			}
		}
	};

	dial(node.step({
		type: 'platform', reply: {
			op: 'load', ok: true, config: configFor(services), joins,
		},
	}, 2));
	while (open.length > 0) {
		expect(node.status().isReady).toBe(false);
		const [peer, ...rest] = open;
		open = rest;
		dial(node.step({
			type: 'link', peer, side: 'out', up: false,
		}, 3));
	}

	expect(tried.size).toBe(joins.length);
	expect(node.status().isReady).toBe(true);
});
