/** Freezes the clients' daemon for a few seconds, with requests on their way on connections that are new. */
import {setTimeout as sleep} from 'node:timers/promises';
import {RawClient, hasTrouble, runCase} from '../lib-3/deployment.mjs';

/** The daemon's HTTP server looks for late heads each 30 s from its start on; the freeze lies around one of these times. */
const CHECK_INTERVAL_MS = 30_000;
const BEFORE_CHECK_MS = 1500;
const FREEZE_MS = 3500;
const CLIENTS = 6;
/** How long after its connection a client sends its request. */
const SEND_AFTER_MS = 100;
const WORK_MS = 50;
const DEADLINE_MS = 5000;

await runCase(import.meta.url, async deployment => {
	const startMs = Date.now();
	await deployment.start([
		{name: 'm1', service: 'portal'},
		{
			name: 'm2', service: 'bookings', async work(_request, response, id) {
				await sleep(WORK_MS);
				response.writeHead(200, {...this.headersOf(id, 'sig.2'), 'content-length': 2});
				response.end('ok');
			},
		},
	], [{
		name: 'book', kind: 'unsafe', service: 'bookings', attempts: 1,
	}]);
	const [front, {upstream}] = deployment.machines;
	const send = (client, id) => {
		client.socket.write(`POST /book/ HTTP/1.1\r\nHost: site.example\r\nX-Comfreydyke-Attempt-Id: ${id}\r\nX-Comfreydyke-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbook`);
		deployment.record(`sent attempt=${id}`);
	};

	await deployment.until('a request is served', async () => {
		const client = new RawClient(front.outbound);
		send(client, `warm${Math.random()}`);
		await deployment.until('it is answered', () => client.answer !== undefined || client.end !== undefined);
		client.socket.destroy();
		return client.answer?.status === 200;
	});
	await sleep(startMs + CHECK_INTERVAL_MS - BEFORE_CHECK_MS - Date.now());

	const clients = Array.from({length: CLIENTS}, () => new RawClient(front.outbound));
	await sleep(SEND_AFTER_MS);
	if (hasTrouble) {
		front.signal('SIGSTOP');
		await sleep(SEND_AFTER_MS);
	}

	for (const [index, client] of clients.entries()) {
		send(client, `a${index}`);
	}

	if (hasTrouble) {
		await sleep(FREEZE_MS);
		front.signal('SIGCONT');
	}

	await sleep(DEADLINE_MS - FREEZE_MS + 500);
	return clients.flatMap((client, index) => {
		const id = `a${index}`;
		const status = client.answer?.status;
		const runs = upstream.ran.filter(one => one.id === id).length;
		const text = `attempt=${id} was answered ${status}, and the upstream has run it ${runs} times`;
		deployment.record(text);
		return [408, 421, 429, 503].includes(status) && runs > 0 ? [text] : [];
	});
});
