import os from 'node:os';
import {Worker} from 'node:worker_threads';

/**
 * Runs jobs in worker threads that execute the calling program; a free worker takes the next job.
 * The results are in the order of the jobs.
 * @param role the `workerData` of each worker
 * @param onDone receives the number of finished jobs after each job
 */
export async function runInWorkers<Job, Result>(program: string, role: string, jobs: readonly Job[], onDone?: (done: number) => void): Promise<Result[]> {
	const results: Result[] = [];
	const queue = jobs.map((job, index) => ({job, index}));
	let done = 0;
	const count = Math.min(jobs.length, os.availableParallelism());
	await Promise.all(Array.from({length: count}, async () => new Promise<void>((resolve, reject) => {
		const worker = new Worker(program, {workerData: role});
		const next = () => {
			const entry = queue.shift();
			if (entry === undefined) {
				void worker.terminate();
				resolve();
				return;
			}

			worker.once('message', (result: Result) => {
				results[entry.index] = result;
				onDone?.(++done);
				next();
			});
			worker.postMessage(entry.job);
		};

		worker.once('error', reject);
		next();
	})));
	return results;
}
