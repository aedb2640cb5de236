import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {deployNodeFlags} from '../scripts/nodeflags.mjs';

const blobs = new Map<string, string>();

/** Builds the snapshot of a daemon, once for each entry point, as the deploy file does. @returns the arguments with which `node` starts from it */
export function snapshotArguments(entry: string): string[] {
	const blob = blobs.get(entry) ?? build(entry);
	blobs.set(entry, blob);
	return [...deployNodeFlags, '--snapshot-blob', blob, 'daemon'];
}

function build(entry: string): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-bundle-'));
	process.once('exit', () => {
		rmSync(folder, {recursive: true, force: true});
	});
	execFileSync(process.execPath, ['scripts/bundle-platform.mjs', folder, entry]);
	return path.join(folder, 'daemon.blob');
}
