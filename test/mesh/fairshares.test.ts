import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FairShares, IndexedHeap} from '../../src/mesh/index.js';

type Organisation = {name: string; weight: number; workMs: number};
const organisationsOf = fc.array(fc.record({weight: fc.double({min: 0.1, max: 10, noNaN: true}), workMs: fc.integer({min: 1, max: 500})}), {minLength: 2, maxLength: 12})
	.map(all => all.map((one, index): Organisation => ({...one, name: `o${index}`})));

const createShares = (organisations: readonly Organisation[]) => new FairShares(name => organisations.find(one => one.name === name)!.weight, 0);

describe('FairShares', () => {
	it('gives organisations that wait all the time the same for their weight, to within a call of each', () => {
		fc.assert(fc.property(organisationsOf, fc.integer({min: 1, max: 300}), (organisations, rounds) => {
			const shares = createShares(organisations);
			const given = new Map(organisations.map(({name}) => [name, 0]));
			for (const {name, workMs} of organisations) {
				shares.add(name, workMs);
				shares.add(name, workMs);
			}

			for (let round = 0; round < rounds; round++) {
				const {name, weight, workMs} = organisations.find(one => one.name === shares.next())!;
				shares.serve(name, workMs, round);
				shares.add(name, workMs);
				given.set(name, given.get(name)! + (workMs / weight));
			}

			for (const one of organisations) {
				for (const other of organisations) {
					expect(given.get(one.name)! - given.get(other.name)!).toBeLessThanOrEqual((one.workMs / one.weight) + (other.workMs / other.weight) + 1e-6);
				}
			}
		}));
	});

	it('lets an organisation that comes back neither catch up what it didn\'t ask for nor wait behind the backlog of the others', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 500}), fc.integer({min: 1, max: 50}), (backlog, workMs) => {
			const shares = createShares(['hot', 'idle'].map(name => ({name, weight: 1, workMs})));
			const serveNext = () => {
				const name = shares.next()!;
				shares.serve(name, workMs, 0);
				return name;
			};

			for (let number = 0; number < backlog + 20; number++) {
				shares.add('hot', workMs);
			}

			for (let number = 0; number < backlog; number++) {
				serveNext();
			}

			for (let number = 0; number < 10; number++) {
				shares.add('idle', workMs);
			}

			const served = Array.from({length: 20}, serveNext);
			expect(served.slice(0, 2)).toContain('idle');
			expect(served.slice(0, 10).filter(name => name === 'idle').length).toBeLessThanOrEqual(6);
		}));
	});
});

describe('IndexedHeap', () => {
	it('keeps its order through any additions, removals and changes, at a logarithmic number of comparisons', () => {
		const operation = fc.record({kind: fc.constantFrom('add', 'remove', 'update'), value: fc.integer({min: 0, max: 1000}), at: fc.nat()});
		fc.assert(fc.property(fc.array(operation, {maxLength: 400}), operations => {
			let comparisons = 0;
			type Item = {value: number; heapPlaces: number[]};
			const heap = new IndexedHeap<Item>(0, (a, b) => {
				comparisons++;
				return a.value < b.value;
			});
			const items: Item[] = [];
			for (const {kind, value, at} of operations) {
				comparisons = 0;
				const item = items[at % Math.max(1, items.length)] as Item | undefined;
				if (kind === 'add' || item === undefined) {
					const added = {value, heapPlaces: [-1]};
					items.push(added);
					heap.add(added);
				} else if (kind === 'remove') {
					items.splice(items.indexOf(item), 1);
					heap.remove(item);
				} else {
					item.value = value;
					heap.update(item);
				}

				expect(comparisons).toBeLessThanOrEqual(3 + (3 * Math.log2(items.length + 1)));
				expect([heap.size, heap.first?.value]).toEqual([items.length, items.length === 0 ? undefined : Math.min(...items.map(one => one.value))]);
			}
		}));
	});
});
