import {createSocket} from 'node:dgram';
import {expect, it} from 'vitest';
import {DaemonCore} from '../src/core/index.js';
import {Logger} from '../src/log/index.js';
import {Metrics} from '../src/daemon/metrics.js';

const HOST = '127.0.0.1';

it('sends the increase of each counter with its tags to StatsD', async () => {
	const core = new DaemonCore({
		id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1,
	}, 1);
	core.step({
		type: 'request', id: 1, fromTarget: false, service: 's', method: 'GET', path: '/', payload: {},
	}, 2);
	const socket = createSocket('udp4');
	const received: string[] = [];
	await new Promise<void>(resolve => {
		socket.bind(0, HOST, resolve);
	});
	const gaugesReceived = new Promise<void>(resolve => {
		socket.on('message', message => {
			received.push(String(message));
			if (String(message).includes('ledgerSize')) {
				resolve();
			}
		});
	});
	const metrics = new Metrics({
		host: HOST, port: socket.address().port, prefix: 'comfreydyke.', intervalMs: 60_000,
	}, 'a', () => core.status());
	metrics.flush();
	await gaugesReceived;
	await metrics.close();
	socket.close();
	expect(received.join('\n')).toMatch(/comfreydyke\.reasons:1\|c\|#.*reason:no-config/v);
});

it('writes each event as one line of key=value pairs, and quotes values with spaces', () => {
	const lines: string[] = [];
	const log = new Logger('a', 'info', line => {
		lines.push(line);
	});
	log.info('member', {id: 'b', status: 'two words'});
	expect(lines).toHaveLength(1);
	expect(lines[0]).toMatch(/^time=\S+ level=info daemon=a event=member id=b status="two words"\n$/v);
});
