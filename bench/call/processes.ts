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
const TICKS_PER_SECOND = 100;
const PAGE_KB = 4;
export const PLATFORM = {host: '127.0.3.250', port: 7000};
export const DAEMON_PORT = 7070;
export const TARGET_PORT = 8080;

/** Processes of a measurement, with what the kernel accounts to each. */
export class Processes {
	readonly #children: ChildProcess[] = [];
	readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'comfreydyke-bench-'));

	start(...args: string[]): ChildProcess {
		const child = spawn(process.execPath, args, {stdio: ['ignore', 'ignore', 'inherit']});
		this.#children.push(child);
		return child;
	}

	standIn(role: string, options: unknown): ChildProcess {
		return this.start(STANDINS, role, JSON.stringify(options));
	}

	daemon(id: string, host: string, failureDomain = 'a', flags: readonly string[] = []): ChildProcess {
		const file = path.join(this.#folder, `${id}.json`);
		writeFileSync(file, JSON.stringify({
			id,
			region: 'bench',
			failureDomain,
			listen: {host, port: DAEMON_PORT},
			platform: {url: `http://${PLATFORM.host}:${PLATFORM.port}`},
			siteKey: SITE_KEY,
			log: {level: 'warn'},
		}));
		return this.start(...flags, CLI, 'daemon', file);
	}

	async apply(declaration: unknown): Promise<void> {
		const file = path.join(this.#folder, 'site.json');
		writeFileSync(file, JSON.stringify(declaration));
		const child = this.start(CLI, 'apply', file, '--platform', `http://${PLATFORM.host}:${PLATFORM.port}`);
		await new Promise(resolve => {
			child.once('exit', resolve);
		});
	}

	stop(): void {
		for (const child of this.#children) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
			}
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Announces a target from its own host's address. */
export async function announce(host: string, service: string, slots: number): Promise<void> {
	const agent = new Agent({localAddress: host});
	const {body} = await request(`http://${host}:${DAEMON_PORT}/_comfreydyke/target`, {
		method: 'PUT', dispatcher: agent, body: JSON.stringify({
			service, port: TARGET_PORT, slots, connections: slots,
		}),
	});
	await body.dump();
	await agent.close();
}

export async function statusOf(host: string): Promise<DaemonStatus | undefined> {
	try {
		const {body} = await request(`http://${host}:${DAEMON_PORT}/_comfreydyke/status`, {headersTimeout: 1000});
		return await body.json() as DaemonStatus;
	} catch {
		return undefined;
	}
}

/** Waits until a condition holds; fails after a time. */
export async function until(condition: () => Promise<boolean>, forMs = 20_000): Promise<void> {
	const endMs = performance.now() + forMs;
	while (performance.now() < endMs) {
		// eslint-disable-next-line no-await-in-loop
		if (await condition()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	throw new Error('what the bench waits for did not come');
}

/** Processor time that a process has used, in ms. */
export function cpuMs({pid}: ChildProcess): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return 1000 * (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Resident memory of a process, in KB. */
export function residentKb({pid}: ChildProcess): number {
	return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_KB;
}
