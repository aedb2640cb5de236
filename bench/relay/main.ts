/**
 * Drives a small mesh and prints how much processor time its daemons take for a
 * call, callers and targets left out: those run in a process of their own.
 */
import {fork} from 'node:child_process';
import {Agent, request} from 'node:http';
import process from 'node:process';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {MeshTarget} from '../../standins/meshtarget.js';

const SECONDS = 8;
const WORKERS = 16;
const DOMAINS = ['a', 'b', 'c'];

type Ports = {readonly ports: readonly number[]};

/** The process of the callers and targets. */
async function drive(): Promise<void> {
	const targets = DOMAINS.map(domain => new MeshTarget({
		id: `i-${domain}`, service: 'top', slots: 50, workMs: 5, bodyBytes: 600,
	}));
	await Promise.all(targets.map(async target => target.listen()));
	process.send!({ports: targets.map(({port}) => port)});
	const {ports} = await new Promise<Ports>(resolve => {
		process.once('message', resolve);
	});
	const agent = new Agent({keepAlive: true});
	const endMs = Date.now() + (SECONDS * 1000);
	let calls = 0;
	let bad = 0;
	await Promise.all(Array.from({length: WORKERS}, async (_, worker) => {
		while (Date.now() < endMs) {
			const headers = {
				host: 'site', 'user-agent': 'bench', accept: '*/*', [meshHeaders.attemptId]: `r${calls++}`, [meshHeaders.deadlineMs]: '5000',
			};
			// eslint-disable-next-line no-await-in-loop -- a caller waits for its answer
			const status = await new Promise<number>(resolve => {
				request({
					host: '127.0.0.1', port: ports[worker % ports.length], path: '/top/a', headers, agent,
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

/** The process of the daemons. */
async function main(): Promise<void> {
	const driver = fork(process.argv[1], ['drive']);
	const {ports} = await new Promise<Ports>(resolve => {
		driver.once('message', resolve as (message: unknown) => void);
	});
	const mesh = new Mesh();
	mesh.configure(createSiteSpec([createRoute('top', 'top')]));
	const daemons = await Promise.all(ports.map(async (port, index) => mesh.addDaemonBeside(`host-${index}`, {id: `i-${DOMAINS[index]}`, service: 'top', port}, DOMAINS[index])));
	await mesh.settle();
	const start = process.cpuUsage();
	driver.send({ports: daemons.map(({requests}) => requests.port)});
	const {calls, bad} = await new Promise<{calls: number; bad: number}>(resolve => {
		driver.once('message', resolve as (message: unknown) => void);
	});
	const {user, system} = process.cpuUsage(start);
	console.log(`calls=${calls} bad=${bad} daemons_cpu_ms_per_call=${((user + system) / 1000 / calls).toFixed(3)}`);
	driver.kill();
	// eslint-disable-next-line unicorn/no-process-exit -- the daemons' connections would hold the process
	process.exit(0);
}

const role = process.argv.includes('drive') ? drive : main;
await role();
