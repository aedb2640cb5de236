import {
	afterEach, describe, expect, it,
} from 'vitest';
import {NO_SIGNALS} from '../../src/mesh/index.js';
import {packSignals, readSignals} from '../../src/relay/peers/frame.js';
import {readTargetSignals} from '../../src/relay/target/targetsignals.js';
import {DecodeError} from '../../src/relay/index.js';
import {pack, unpack} from '../../src/wire/index.js';
import {Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const read = (limit?: string | string[], leaving?: string) => readTargetSignals({[meshHeaders.rateLimit]: limit, [meshHeaders.leaving]: leaving}, meshHeaders);

describe('the signals in the headers of an answer', () => {
	it('are the rate limit as a decimal number and whether the target leaves', () => {
		expect(read('22.2')).toEqual({rateLimitPerS: 22.2, isLeaving: false});
		expect(read('0', '1')).toEqual({rateLimitPerS: 0, isLeaving: true});
		expect(read(undefined, '0')).toEqual({rateLimitPerS: undefined, isLeaving: false});
	});

	it('are rejected with the name of the field when the limit is no decimal number', () => {
		for (const limit of ['', '-1', '1e9', 'Infinity', 'NaN', '5 a second', ['5', '6']]) {
			expect(() => read(limit)).toThrow(DecodeError);
		}

		expect(() => read('many')).toThrow(/target-rate-limit: expected .*"many"/v);
	});
});

describe('the signals of an answer that came over a link', () => {
	it('are the ones that were sent, and a target that needs nothing names no limit', () => {
		for (const signals of [undefined, NO_SIGNALS, {rateLimitPerS: undefined, isLeaving: true}, {rateLimitPerS: 0, isLeaving: false}]) {
			expect(readSignals(unpack(pack(packSignals(signals))))).toEqual(signals);
		}
	});
});

describe('a header of the platform that nothing here reads', () => {
	const mesh = new Mesh();
	afterEach(async () => {
		await mesh.close();
	});

	it('is logged once, and still passed on', async () => {
		const {back, port} = await mesh.addPair();
		back.target.extraHeaders = {
			...back.target.extraHeaders, 'target-mood': 'tired', 'content-language': 'en', [meshHeaders.rateLimit]: '50',
		};
		const first = await call(port, '/x/', {headers: createAttemptHeaders('a1')});
		await call(port, '/x/', {headers: createAttemptHeaders('a2')});
		expect([first.status, first.headers['target-mood']]).toEqual([200, 'tired']);
		expect(mesh.logLines.filter(line => line.includes('event=target_header_unknown')).map(line => /header=(\S+)/v.exec(line)![1])).toEqual(['target-mood']);
	});
});

describe('the load of a target\'s machine', () => {
	const mesh = new Mesh({usesMachineLoad: true});
	afterEach(async () => {
		await mesh.close();
	});

	it('changes nothing if it is malformed, and is logged once', async () => {
		const {back, port} = await mesh.addPair();
		back.target.extraHeaders = {...back.target.extraHeaders, [meshHeaders.load]: '8 much'};
		for (const id of ['a1', 'a2', 'a3']) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {status} = await call(port, '/x/', {headers: createAttemptHeaders(id)});
			expect(status).toBe(200);
		}

		expect(mesh.logLines.filter(line => line.includes('event=machine_load_rejected'))).toHaveLength(1);
	});
});
