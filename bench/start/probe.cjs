/** Loaded into each daemon of the bench: tells it over the channel to its parent what the process has used so far. */
'use strict';

const {readFileSync} = require('node:fs');
const {constants, PerformanceObserver} = require('node:perf_hooks');
const {Session} = require('node:inspector');
const process = require('node:process');

let garbageMs = 0;

/** The main thread's processor time: the others compile, optimise and collect garbage. */
function readMainThreadMs() {
	return Number(readFileSync(`/proc/self/task/${process.pid}/schedstat`, 'utf8').split(' ')[0]) / 1e6;
}

new PerformanceObserver(list => {
	for (const entry of list.getEntries()) {
		garbageMs += entry.detail.kind === constants.NODE_PERFORMANCE_GC_WEAKCB ? 0 : entry.duration;
	}
}).observe({entryTypes: ['gc']});

const session = new Session();
process.on('message', command => {
	switch (command) {
		case 'usage': {
			const {user, system} = process.cpuUsage();
			process.send({
				totalMs: (user + system) / 1000, mainThreadMs: readMainThreadMs(), systemMs: system / 1000, garbageMs, peakMb: process.resourceUsage().maxRSS / 1024,
			});
			break;
		}

		case 'startProfile': {
			session.connect();
			session.post('Profiler.enable');
			session.post('Profiler.setSamplingInterval', {interval: 250});
			session.post('Profiler.start', () => {
				process.send({});
			});
			break;
		}

		case 'stopProfile': {
			session.post('Profiler.stop', (_error, {profile}) => {
				process.send(profile);
				session.disconnect();
			});
			break;
		}

		default: {
			throw new Error(`unknown command ${command}`);
		}
	}
});
process.channel.unref();
