import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const BODY = 'x'.repeat(20);
/** How many requests are under way at a time. */
const BATCH = 40;

type Framing = {readonly name: string; readonly header: string; readonly body: string};
const FRAMINGS: Framing[] = [
	{name: 'a length', header: `content-length: ${BODY.length}\r\n`, body: BODY},
	{name: 'a length of 0', header: 'content-length: 0\r\n', body: ''},
	{name: 'chunks', header: 'transfer-encoding: chunked\r\n', body: `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`},
	{name: 'no length', header: 'connection: close\r\n', body: BODY},
];
const INTERIMS = [{name: '', text: ''}, {name: ', after an interim answer', text: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'}];
const ENDINGS = ['end', 'reset'] as const;

const answerOf = (id: string, {header, body}: Framing) => {
	const head = `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\n${header}\r\n`;
	return {head, text: head + body};
};

describe('a target that closes in the middle of its answer\'s head', () => {
	let mesh: Mesh;
	afterEach(async () => {
		await mesh.close();
	});

	// Guards against an answer that looks whole to the client though its head never ended (MIXED).
	it.each(FRAMINGS.flatMap(framing => INTERIMS.flatMap(interim => ENDINGS.map(ending => ({
		framing, interim, ending, title: `${framing.name}${interim.name}, ${ending}`,
	})))))('has not answered: $title', async ({framing, interim, ending}) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})], back: {slots: 2 * BATCH}});
		const {head, text} = answerOf('000', framing);
		const answered = new WeakSet();
		back.target.behaviourOverride = ({headers, socket}) => {
			const id = String(headers[meshHeaders.attemptId]);
			const whole = interim.text + answerOf(id, framing).text;
			const cut = id.startsWith('w') ? whole.length : Number(id);
			socket.write(whole.slice(0, cut));
			if (cut === whole.length && framing.name !== 'no length') {
				answered.add(socket);
			} else if (ending === 'end') {
				socket.end();
			} else {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			}
		};

		const send = async (id: string) => call(port, '/x/', {method: 'POST', headers: createAttemptHeaders(id)});
		const cuts = Array.from({length: interim.text.length + text.length}, (_, cut) => String(cut).padStart(3, '0'));
		const headLength = interim.text.length + head.length;
		for (let first = 0; first < cuts.length; first += BATCH) {
			// The connections that these leave are used again for what follows.
			// eslint-disable-next-line no-await-in-loop -- one batch after the other
			await Promise.all(Array.from({length: BATCH}, async (_, number) => send(`w${number % 10}${number % 7}`)));
			// eslint-disable-next-line no-await-in-loop -- one batch after the other
			const answers = await Promise.all(cuts.slice(first, first + BATCH).map(async id => ({cut: Number(id), ...await send(id)})));
			const wrong = answers.filter(({status, cut, isWhole}) => status === 200 && isWhole && (cut < headLength || framing.name !== 'no length' || ending === 'reset'));
			expect(wrong.map(({cut, body}) => [cut, body.toString()])).toEqual([]);
		}
	});
});

describe('the same on the product\'s own path', () => {
	let pair: DaemonPair;
	beforeEach(async () => {
		pair = new DaemonPair();
		await pair.start();
	});
	afterEach(async () => {
		await pair.close();
	});

	it.each(FRAMINGS.flatMap(framing => ENDINGS.map(ending => ({framing, ending, title: `${framing.name}, ${ending}`}))))('has not answered: $title', async ({framing, ending}) => {
		const head = `HTTP/1.1 200 OK\r\nx: y\r\n${framing.header}\r\n`;
		const whole = head + framing.body;
		pair.onRequest = (socket, text) => {
			const cut = Number(/submit\/(?<cut>\d+)/v.exec(text)?.groups?.cut ?? whole.length);
			socket.write(whole.slice(0, cut));
			if (ending === 'end') {
				socket.end();
			} else {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			}
		};

		const wrong: Array<[number, string]> = [];
		for (let cut = 0; cut < whole.length; cut++) {
			// eslint-disable-next-line no-await-in-loop -- its target runs few at a time
			const {status, text} = await pair.fetch(`/back/submit/${cut}`, 'POST');
			if (status === 200 && (cut < head.length || framing.name !== 'no length' || ending === 'reset')) {
				wrong.push([cut, text]);
			}
		}

		expect(wrong).toEqual([]);
	});
});
