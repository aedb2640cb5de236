/**
 * Sends load through a small mesh and prints the processor time that its daemons
 * take for a call. Callers and targets run in a separate process, so that their
 * time is not counted.
 */
import {fork} from 'node:child_process';
import {Agent, request} from 'node:http';
import process from 'node:process';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget} from '../../standins/meshtarget.js';

const DURATION_SECONDS = 8;
const CONCURRENT_CALLERS = 16;
const FAILURE_DOMAINS = ['a', 'b', 'c'];

/** Ports of the targets or of the daemons, sent from one process to the other. */
type PortsMessage = {readonly ports: readonly number[]};

/** Runs the child process: starts the targets, then calls through the daemons for the set time. */
async function runCallersAndTargets(): Promise<void> {
	const targets = FAILURE_DOMAINS.map(domain => new MeshTarget({
		id: `i-${domain}`, service: 'top', slots: 50, workMs: 5, bodyBytes: 600,
	}));
	await Promise.all(targets.map(async target => target.listen()));
	process.send!({ports: targets.map(({port}) => port)});
	const {ports} = await new Promise<PortsMessage>(resolve => {
		process.once('message', resolve);
	});
	const agent = new Agent({keepAlive: true});
	const endMs = Date.now() + (DURATION_SECONDS * 1000);
	let calls = 0;
	let bad = 0;
	await Promise.all(Array.from({length: CONCURRENT_CALLERS}, async (_, caller) => {
		while (Date.now() < endMs) {
			const headers = {
				host: 'site', 'user-agent': 'bench', accept: '*/*', [meshHeaders.attemptId]: `r${calls++}`, [meshHeaders.deadlineMs]: '5000',
			};
			// eslint-disable-next-line no-await-in-loop -- each caller waits for its answer before the next call
			const status = await new Promise<number>(resolve => {
				request({
					host: '127.0.0.1', port: ports[caller % ports.length], path: '/top/a', headers, agent,
				}, response => {
					response.resume().on('end', () => {
						resolve(response.statusCode!);
					});
				}).on('error', () => {
					resolve(0);
				}).end();
			});
			bad += status === 200 ? 0 : 1;
		}
	}));
	process.send!({calls, bad});
}

/** Runs the main process: starts the daemons and reads the processor time that they use. */
async function measureDaemons(): Promise<void> {
	const callersAndTargets = fork(process.argv[1], ['drive']);
	const {ports} = await new Promise<PortsMessage>(resolve => {
		callersAndTargets.once('message', resolve as (message: unknown) => void);
	});
	const mesh = new Mesh();
	mesh.configure(createSiteSpec([createRoute('top', 'top')]));
	const daemons = await Promise.all(ports.map(async (port, index) => mesh.addDaemonBeside(`host-${index}`, {id: `i-${FAILURE_DOMAINS[index]}`, service: 'top', port}, FAILURE_DOMAINS[index])));
	await mesh.settle();
	const startUsage = process.cpuUsage();
	callersAndTargets.send({ports: daemons.map(({requests}) => requests.port)});
	const {calls, bad} = await new Promise<{calls: number; bad: number}>(resolve => {
		callersAndTargets.once('message', resolve as (message: unknown) => void);
	});
	const {user, system} = process.cpuUsage(startUsage);
	console.log(`calls=${calls} bad=${bad} daemons_cpu_ms_per_call=${((user + system) / 1000 / calls).toFixed(3)}`);
	callersAndTargets.kill();
	// eslint-disable-next-line unicorn/no-process-exit -- open connections of the daemons would keep the process alive
	process.exit(0);
}

const runRole = process.argv.includes('drive') ? runCallersAndTargets : measureDaemons;
await runRole();
