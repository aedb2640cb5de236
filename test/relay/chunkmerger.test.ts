import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ChunkMerger} from '../../src/relay/chunkmerger.js';

const MERGE_MS = 5;

describe('a chunk merger', () => {
	it('passes on all bytes in their order, whatever the chunks', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 9000}), {maxLength: 40}), chunks => {
			const passed: Buffer[] = [];
			const merger = new ChunkMerger(chunk => {
				passed.push(chunk);
			});
			for (const chunk of chunks) {
				merger.add(Buffer.from(chunk));
			}

			merger.flush();
			merger.close();
			expect(Buffer.concat(passed).equals(Buffer.concat(chunks))).toBe(true);
		}));
	});

	it('passes a lone chunk on at once, and those that follow closely together', async () => {
		const passed: string[] = [];
		const merger = new ChunkMerger(chunk => {
			passed.push(chunk.toString());
		});
		for (const text of ['a', 'b', 'c', 'd']) {
			merger.add(Buffer.from(text));
		}

		expect(passed).toEqual(['a']);
		await sleep(10 * MERGE_MS);
		expect(passed).toEqual(['a', 'bcd']);
		merger.add(Buffer.from('e'));
		expect(passed.at(-1)).toBe('e');
		merger.add(Buffer.from('f'));
		merger.close();
		await sleep(10 * MERGE_MS);
		expect(passed.at(-1)).toBe('e');
	});
});
