/** Drives a small mesh in one process and prints how much processor time a call takes; for profiles. */
import process from 'node:process';
import {Mesh, route, siteOf} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const SECONDS = 8;
const WORKERS = 24;

const mesh = new Mesh();
mesh.configure(siteOf([route('top', 'top'), route('deep', 'deep')]));
for (const domain of ['a', 'b', 'c']) {
	for (const service of ['top', 'deep']) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await mesh.add(`${service}-${domain}`, {
			id: `i-${service}-${domain}`, service, slots: 50, workMs: 5, bodyBytes: 600, calls: {'/top/': [{path: '/deep/x', times: 4}]},
		}, domain);
	}
}

await mesh.settle();
const startCpu = process.cpuUsage();
const endMs = Date.now() + (SECONDS * 1000);
let calls = 0;
let bad = 0;
await Promise.all(Array.from({length: WORKERS}, async (_, worker) => {
	const {settings} = mesh.hosts[worker % mesh.hosts.length];
	while (Date.now() < endMs) {
		// eslint-disable-next-line no-await-in-loop -- a caller waits for its answer
		const {status} = await call(settings.listen.requests.port, '/top/a', {headers: {host: 'site', [meshHeaders.attemptId]: `r${calls++}`, [meshHeaders.deadlineMs]: '5000'}});
		bad += status === 200 ? 0 : 1;
	}
}));
const {user, system} = process.cpuUsage(startCpu);
console.log(`calls=${calls} bad=${bad} cpu_ms_per_root=${((user + system) / 1000 / calls).toFixed(2)} (callers and targets included)`);
process.exit(0);
