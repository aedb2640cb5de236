/**
 * Prints what a call costs that waits in the queue of an owner: the processor time to
 * admit it and to take it out again, by the length of the queue and the number of organisations,
 * and the memory that a waiting call takes besides its body.
 */
import process from 'node:process';
import {RANK_COUNT, levelOf} from '../../src/core/index.js';
import {AdmissionQueue, type QueuedCall} from '../../src/mesh/index.js';

const ROUNDS = 100_000;
const LENGTHS = [64, 1000, 8000];
const ORGANISATION_COUNTS = [0, 72, 1000];
const SLOTS = 600;

const createCall = (index: number, organisations: number): QueuedCall => ({
	priority: {level: levelOf(RANK_COUNT - 1, `${index}`, 0), floor: 0},
	isNested: false,
	deadlineMs: 1e9,
	objectiveEndMs: 1e8 + ((index * 7919) % 4000),
	serviceMs: 20 + (index % 100),
	deviationMs: 5,
	...(organisations > 0 && {organisation: `o${(index * 31) % organisations}`}),
});

function createQueue(length: number, organisations: number): AdmissionQueue<QueuedCall> {
	const queue = new AdmissionQueue<QueuedCall>(SLOTS);
	for (let index = 0; index < SLOTS + length; index++) {
		queue.admit(createCall(index, organisations), 0);
	}

	return queue;
}

for (const organisations of ORGANISATION_COUNTS) {
	for (const length of LENGTHS) {
		const queue = createQueue(length, organisations);
		const calls = Array.from({length: ROUNDS}, (_, index) => createCall(index, organisations));
		const start = process.cpuUsage();
		for (const [index, call] of calls.entries()) {
			queue.admit(call, index / 10);
			queue.release(20);
			queue.dequeue(index / 10);
		}

		const {user, system} = process.cpuUsage(start);
		console.log(`organisations=${organisations} waiting=${queue.queued} cpu_us_per_call=${((user + system) / ROUNDS).toFixed(2)}`);
	}
}

if (globalThis.gc !== undefined) {
	globalThis.gc();
	const beforeBytes = process.memoryUsage().heapUsed;
	const queues = Array.from({length: 10}, () => createQueue(8000, 72));
	globalThis.gc();
	console.log(`bytes_per_waiting_call=${Math.round((process.memoryUsage().heapUsed - beforeBytes) / queues.reduce((sum, {queued}) => sum + queued, 0))}`);
}
