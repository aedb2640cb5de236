import {once} from 'node:events';
import {type Server} from 'node:http';
import {sleep} from '../clock/index.js';

/** Limits the connections that wait to be accepted; it is large because a host's clients may all connect at once. */
const BACKLOG = 1024;
/** How long a server waits before it tries again to bind an address, in ms. */
const RETRY_INTERVAL_MS = 50;
/** The interval between two reports of an address that can't be bound, in ms. */
const REPORT_INTERVAL_MS = 1000;
/** The reasons that pass: another process has the address, or the host doesn't have it yet. */
const PASSING_REASONS = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

type ListenAddress = {readonly ip: string; readonly port: number};

/** How long a server waits for an address that it can't bind. */
export type ListenPatience = {
	readonly maxMs: number;
	/** Ends the waiting. */
	readonly signal?: AbortSignal;
	/** Is told of an address that can't be bound, at once and then at intervals. */
	readonly onWaiting?: (reason: string, waitedMs: number) => void;
};

const NO_PATIENCE: ListenPatience = {maxMs: 0};

/**
 * Starts a server and waits until it listens.
 * @throws when it can't bind the address in time, or the waiting was ended
 */
export async function listen(server: Server, address: ListenAddress, patience = NO_PATIENCE): Promise<void> {
	const {maxMs, signal, onWaiting} = patience;
	for (let waitedMs = 0; ; waitedMs += RETRY_INTERVAL_MS) {
		signal?.throwIfAborted();
		try {
			// eslint-disable-next-line no-await-in-loop -- each try follows a failed one
			await tryListen(server, address);
			return;
		} catch (error) {
			const {code = ''} = error as NodeJS.ErrnoException;
			if (!PASSING_REASONS.has(code) || waitedMs >= maxMs) {
				throw error;
			}

			if (waitedMs % REPORT_INTERVAL_MS === 0) {
				onWaiting?.(code, waitedMs);
			}

			// eslint-disable-next-line no-await-in-loop -- waits for the address
			await sleep(RETRY_INTERVAL_MS);
		}
	}
}

async function tryListen(server: Server, {ip, port}: ListenAddress): Promise<void> {
	const listening = once(server, 'listening');
	server.listen(port, ip, BACKLOG);
	await listening;
}
