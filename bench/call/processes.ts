import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {type DaemonStatus} from '../../src/core/index.js';

const CLI = path.resolve('.build/src/cli/main.mjs');
const STANDINS = path.resolve('.build/standins/main.mjs');
const SITE_KEY = 'a secret for measuring';
/** The unit of processor time in /proc. */
const CPU_TICKS_PER_SECOND = 100;
/** The unit of memory in /proc. */
const PAGE_SIZE_KB = 4;
export const PLATFORM_ADDRESS = {host: '127.0.3.250', port: 7000};
export const DAEMON_PORT = 7070;
export const TARGET_PORT = 8080;

/** Starts the processes of a measurement and kills them after it. */
export class Processes {
	readonly #children: ChildProcess[] = [];
	readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'comfreydyke-bench-'));

	startNode(...args: string[]): ChildProcess {
		const child = spawn(process.execPath, args, {stdio: ['ignore', 'ignore', 'inherit']});
		this.#children.push(child);
		return child;
	}

	startStandIn(role: string, options: unknown): ChildProcess {
		return this.startNode(STANDINS, role, JSON.stringify(options));
	}

	startDaemon(id: string, host: string, failureDomain = 'a', flags: readonly string[] = []): ChildProcess {
		const file = path.join(this.#folder, `${id}.json`);
		writeFileSync(file, JSON.stringify({
			id,
			region: 'bench',
			failureDomain,
			listen: {host, port: DAEMON_PORT},
			platform: {url: `http://${PLATFORM_ADDRESS.host}:${PLATFORM_ADDRESS.port}`},
			siteKey: SITE_KEY,
			log: {level: 'warn'},
		}));
		return this.startNode(...flags, CLI, 'daemon', file);
	}

	async applyConfiguration(declaration: unknown): Promise<void> {
		const file = path.join(this.#folder, 'site.json');
		writeFileSync(file, JSON.stringify(declaration));
		const child = this.startNode(CLI, 'apply', file, '--platform', `http://${PLATFORM_ADDRESS.host}:${PLATFORM_ADDRESS.port}`);
		await new Promise(resolve => {
			child.once('exit', resolve);
		});
	}

	killAll(): void {
		for (const child of this.#children) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
			}
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Announces a target to the daemon of its host, from that host's address. */
export async function announceTarget(host: string, service: string, slots: number): Promise<void> {
	const agent = new Agent({localAddress: host});
	const {body} = await request(`http://${host}:${DAEMON_PORT}/_comfreydyke/target`, {
		method: 'PUT', dispatcher: agent, body: JSON.stringify({
			service, port: TARGET_PORT, slots, connections: slots,
		}),
	});
	await body.dump();
	await agent.close();
}

/** @returns the daemon's status, or undefined if it can't be read */
export async function readStatus(host: string): Promise<DaemonStatus | undefined> {
	try {
		const {body} = await request(`http://${host}:${DAEMON_PORT}/_comfreydyke/status`, {headersTimeout: 1000});
		return await body.json() as DaemonStatus;
	} catch {
		return undefined;
	}
}

/**
 * Polls a condition until it holds.
 * @throws if it does not hold within the time
 */
export async function waitUntil(condition: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (performance.now() < endMs) {
		// eslint-disable-next-line no-await-in-loop
		if (await condition()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	throw new Error('the condition that the benchmark waits for did not hold in time');
}

/** Reads the processor time that a process has used, in ms. */
export function readCpuMs({pid}: ChildProcess): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return 1000 * (Number(fields[11]) + Number(fields[12])) / CPU_TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, in KB. */
export function readResidentKb({pid}: ChildProcess): number {
	return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_SIZE_KB;
}
