import {createSocket} from 'node:dgram';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../src/clock/index.js';
import {
	StatsdReporter, EventLog, Logger, MetricsRegistry, traceAttempt,
} from '../src/log/index.js';

describe('event log', () => {
	it('limits the lines per second of each event name without losing count of the omitted ones', () => {
		const lines: string[] = [];
		const clock = new ManualClock(0);
		const log = new EventLog(new Logger('d', 'info', line => {
			lines.push(line);
		}), clock);
		for (let second = 0; second < 3; second++) {
			clock.advanceTo(second * 1000);
			for (let number = 0; number < 1000; number++) {
				log.event('refused', {attempt: `a${number}`});
			}

			log.event('started');
		}

		expect(lines.filter(line => line.includes('event=refused'))).toHaveLength(60);
		expect(lines.filter(line => line.includes('event=started'))).toHaveLength(3);
		expect(lines.filter(line => line.includes('event=omitted')).map(line => /of=refused lines=(?<lines>\d+)/v.exec(line)?.groups?.lines)).toEqual(['980', '980']);
	});
});

describe('metrics registry', () => {
	it('formats counters and latencies in the Prometheus text format', () => {
		const registry = new MetricsRegistry();
		registry.count('refused', {service: 's', reason: 'full'});
		registry.count('refused', {service: 's', reason: 'full'});
		registry.observe('answer', {rank: 0}, 250);
		const text = registry.formatPrometheus();
		expect(text).toContain('# TYPE comfreydyke_refused_total counter\ncomfreydyke_refused_total{service="s",reason="full"} 2\n');
		expect(text).toContain('comfreydyke_answer_seconds{rank="0",quantile="0.5"} 0.25');
		expect(text).toContain('comfreydyke_answer_seconds{rank="0",quantile="1"} 0.25');
		expect(text).toContain('comfreydyke_answer_seconds_count{rank="0"} 1');
	});
});

describe('StatsD reporter', () => {
	it('sends the increase of each counter, with its labels as tags', async () => {
		const socket = createSocket('udp4');
		const received: string[] = [];
		await new Promise<void>(resolve => {
			socket.bind(0, '127.0.0.1', resolve);
		});
		const firstMessage = new Promise<void>(resolve => {
			socket.on('message', message => {
				received.push(String(message));
				resolve();
			});
		});
		const registry = new MetricsRegistry();
		registry.count('refused', {service: 's', reason: 'full'});
		registry.count('refused', {service: 's', reason: 'full'});
		const reporter = new StatsdReporter({
			host: '127.0.0.1', port: socket.address().port, prefix: 'comfreydyke.', intervalMs: 60_000,
		}, 'd', () => ({counters: registry.counters()}));
		reporter.flush();
		await reporter.close();
		await firstMessage;
		socket.close();
		expect(received.join('\n')).toMatch(/^comfreydyke\.refused:2\|c\|#daemon:d,service:s,reason:full$/v);
	});
});

describe('trace', () => {
	it('lists the lines of an attempt and its nested calls from all daemons in order, and no lines of other attempts', () => {
		const line = (ms: number, daemon: string, attempt: string) => `12.5 x time=2026-01-01T00:00:00.${ms}Z level=info daemon=${daemon} event=refused attempt=${attempt} reason=full`;
		expect(traceAttempt('a1', [line(300, 'b', 'a1.c'), line(100, 'a', 'a1'), line(200, 'a', 'a10'), 'no log line'])).toEqual([
			'+0 ms  a  refused  attempt=a1 reason=full',
			'+200 ms  b  refused  attempt=a1.c reason=full',
		]);
	});
});
