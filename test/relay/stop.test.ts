import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

describe('a daemon whose grace period ends before its lame-duck time', () => {
	it('no longer listens once it has stopped, so that its successor can', async () => {
		mesh = new Mesh({graceMs: 100, lameDuckMs: 300});
		mesh.configure(createSiteSpec([createRoute('x', 'back')]));
		const {name, target, stop, settings: {listen}} = await mesh.addHost('1', {
			id: 'i-1', service: 'back', slots: 4, workMs: 1,
		});
		await mesh.settle();
		await stop();
		const successor = await mesh.startDaemon(name, target, [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port));
		await mesh.settle();
		const {status} = await call(listen.requests.port, '/x/', {headers: createAttemptHeaders('a1')});
		await successor.stop();
		expect(status).toBe(200);
	});
});
