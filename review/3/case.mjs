/** A daemon that stops reads a request on a kept connection and never answers it: pipelined answers before it didn't close the connection. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Connection, headOf} from '../lib/client.mjs';
import {Record} from '../lib/record.mjs';
import {
	CaseError, SETTLE_MS, Site, hasTrouble, isReady, runCase,
} from '../lib/site.mjs';
import {Upstream} from '../lib/upstream.mjs';

const CLIENTS = 4;
/** `loss_slack_ms`. */
const LOSS_SLACK_MS = 200;

const record = new Record(path.dirname(fileURLToPath(import.meta.url)));
const site = new Site(record);
const upstreams = [];

/** Works for as many ms as the second part of the path says. */
async function answerAsAsked({request, response, upstream}) {
	request.resume();
	await sleep(Number(request.url.split('/')[2]));
	upstream.answer(request, response, 200, `done ${request.url}`);
}

async function play() {
	await site.start({
		services: ['portal', 'records'],
		zones: ['zone-a', 'zone-b'],
		routes: [{
			path: '/look/', service: 'records', kind: 'safe', timeoutMs: 5000,
		}],
	});
	const [front, back] = site.machines;
	upstreams.push(new Upstream({
		machine: front, service: 'portal', id: 'i-portal', record, run: answerAsAsked,
	}), new Upstream({
		machine: back, service: 'records', id: 'i-records', record, run: answerAsAsked,
	}));
	for (const machine of site.machines) {
		site.startDaemon(machine);
	}

	await site.ready();
	await Promise.all(upstreams.map(async upstream => upstream.start()));
	await sleep(SETTLE_MS);

	const address = {ip: front.ip, port: front.ports.outbound};
	const send = (connection, id, workMs) => {
		record.write('sent', {id, workMs});
		connection.send(headOf({path: `/look/${workMs}/${id}`, id, deadlineMs: 5000}));
	};

	const kept = Array.from({length: CLIENTS}, () => new Connection(address));
	const long = new Connection(address);
	for (const [index, connection] of [...kept, long].entries()) {
		send(connection, `w${index}`, 20);
	}

	const areWarm = await Promise.all([...kept, long].map(async connection => connection.until(() => connection.answers.length === 1, 3000)));
	if (!areWarm.every(Boolean)) {
		throw new CaseError('the first requests are not answered');
	}

	const startMs = performance.now();
	// The platform asks each second. The zone has one daemon: with none of it in, its clients go on.
	setInterval(async () => {
		record.write('readiness', {machine: front.name, isReady: await isReady(front)});
	}, 1000);
	if (hasTrouble) {
		site.signal(front, 'SIGTERM');
	}

	await sleep(1000);
	// One request that the daemon serves to its end.
	send(long, 'long', 3400);
	await sleep(200);
	for (const [index, connection] of kept.entries()) {
		send(connection, `a${index}`, 1800);
		send(connection, `b${index}`, 300);
	}

	const haveBoth = await Promise.all(kept.map(async connection => connection.until(() => connection.answers.length === 3, 3000)));
	if (!haveBoth.every(Boolean)) {
		throw new CaseError('the pipelined requests are not answered');
	}

	await sleep(50);
	let sentMs = performance.now();
	const open = kept.filter(({ending}) => ending === undefined);
	for (const [index, connection] of kept.entries()) {
		record.write('answered', {
			ids: `a${index},b${index}`, close: connection.answers.slice(1).map(({headers}) => headers.connection), connection: connection.ending ?? 'open', afterMs: Math.round(sentMs - startMs),
		});
		// The client respects what the answers say of the connection.
		if (open.includes(connection) && connection.answers.every(({headers}) => headers.connection !== 'close')) {
			send(connection, `c${index}`, 20);
		}
	}

	sentMs = performance.now();
	await Promise.all(open.map(async connection => connection.until(() => connection.answers.length === 4 || connection.ending !== undefined, 4000)));
	const lost = countLost(kept, open, sentMs);
	await long.until(() => long.answers.length === 2 || long.ending !== undefined, 3000);
	record.write('outcome', {id: 'long', status: long.answers.at(1)?.status ?? 'none'});
	record.write('lost', {requests: lost});
	return lost > 0;
}

/** Counts the last requests that the process has read and left without an answer. */
function countLost(kept, open, sentMs) {
	let lost = 0;
	for (const [index, connection] of kept.entries()) {
		const isAnswered = connection.answers.length === 4;
		const endedAfterMs = connection.endedMs === undefined ? undefined : Math.round(connection.endedMs - sentMs);
		record.write('outcome', {
			id: `c${index}`, status: connection.answers.at(3)?.status ?? 'none', connection: connection.ending ?? 'open', endedAfterMs,
		});
		// An orderly end shows that nothing was left unread: the process has read the whole request.
		lost += open.includes(connection) && !isAnswered && connection.ending === 'end' && endedAfterMs > LOSS_SLACK_MS ? 1 : 0;
	}

	return lost;
}

await runCase({
	record, site, upstreams, play,
});
