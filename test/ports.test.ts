import {expect, it} from 'vitest';
import {PortBlock} from '../standins/ports.js';

// Guards against tests that fail because another run beside them listens on their ports.
it('finds different ports for two runs that look for them at the same time', async () => {
	const blocks = await Promise.all([PortBlock.reserve(), PortBlock.reserve()]);
	const [ports, others] = await Promise.all(blocks.map(async block => block.findFree(600)));
	expect(new Set(ports).size).toBeGreaterThan(400);
	expect(ports.filter(port => others.includes(port))).toEqual([]);
});
