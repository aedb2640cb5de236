import {describe, expect, it} from 'vitest';
import {Network} from '../../fakes/network.js';
import {Random} from '../../fakes/random.js';
import {Scheduler} from '../../fakes/scheduler.js';
import {type Frame} from '../../src/core/index.js';

describe('cuts of the fake network that overlap', () => {
	it('end one by one: a link is cut until the last cut of it has healed', () => {
		const scheduler = new Scheduler(0);
		const network = new Network(scheduler, new Random(1), () => 1);
		const received: string[] = [];
		for (const id of ['a', 'b', 'c']) {
			network.add(id, {
				isUp: () => true,
				onFrame(peer) {
					received.push(`${peer}>${id}`);
				},
				onLink: () => undefined,
			});
		}

		network.connect('a', 'b');
		network.connect('a', 'c');
		scheduler.runUntil(10);
		const [healFirst, healSecond, healOther] = [network.cut('a', 'b'), network.cut('b', 'a'), network.cut('a', 'c')];
		const sendBoth = (untilMs: number) => {
			for (const to of ['b', 'c']) {
				network.send('a', to, 'out', {type: 'sync'} as unknown as Frame);
			}

			scheduler.runUntil(untilMs);
		};

		healFirst();
		sendBoth(20);
		expect(received).toEqual([]);
		healSecond();
		scheduler.runUntil(30);
		expect(received).toEqual(['a>b']);
		healOther();
		scheduler.runUntil(40);
		expect(received).toEqual(['a>b', 'a>c']);
	});
});
