import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call, MeshTarget} from '../../standins/meshtarget.js';

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

describe('a late announcement of a target of another service that had the address before', () => {
	// Guards against requests that run with a service as their caller that isn't on this host (UNASKED).
	it.each(['before the present target\'s first', 'after the daemon\'s restart'])('is ignored: %s', async when => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({front: {isSilent: true}});
		const announcements = front.settings.listen.announcements.port;
		const old = new MeshTarget({
			id: 'i-old', service: 'back', slots: 4, workMs: 0,
		});
		if (when === 'after the daemon\'s restart') {
			await front.target.announce(announcements);
			await front.stop();
			const {listen} = front.settings;
			const daemon = await mesh.startDaemon('front', front.target, [listen.requests, listen.peers, listen.readiness, listen.announcements].map(address => address.port));
			mesh.hosts.push(daemon);
		}

		await old.announceAs(front.target.port, announcements, 'ready', 0);
		await expect.poll(async () => {
			const {status} = await call(port, '/x/', {headers: createAttemptHeaders(`a-${Math.random()}`)});
			return status;
		}).toBe(200);
		expect(back.target.receivedRequests.map(({headers}) => headers[meshHeaders.callerService])).toEqual(['front']);
		expect(mesh.logLines.filter(line => line.includes('event=announcement_foreign'))).toHaveLength(1);
	});
});
