import {setTimeout as sleep} from 'node:timers/promises';
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

const back = [{service: 'back', weight: 1}];
const front = [{service: 'front', weight: 1}];
const patient = {timeoutMs: 8000, objectiveMs: 6000};
const hasty = {timeoutMs: 8000, objectiveMs: 1000};

/** Sends six patient requests and then a hasty one through a host to a target that runs one at a time. @returns the place of the hasty one among the runs at the target */
async function findHastyPlace(mayNest: boolean): Promise<number> {
	mesh = new Mesh();
	const destinations = mayNest ? front : back;
	const pair = await mesh.addPair({
		routes: [createRoute('patient', '', {...patient, destinations}), createRoute('hasty', '', {...hasty, destinations}), createRoute('inner', '', {...patient, destinations: back})],
		front: {slots: 50, calls: mayNest ? {'/patient/': [{path: '/inner/', times: 1}], '/hasty/': [{path: '/inner/', times: 1}]} : {}},
		back: {slots: 1, workMs: 100},
	});
	const send = async (kind: string, number: number) => call(pair.port, `/${kind}/`, {headers: createAttemptHeaders(`${kind}${number}`)});
	const answers = [...Array.from({length: 6}, async (_, number) => send('patient', number)), send('hasty', 0)];
	const ended = await Promise.all(answers);
	expect(ended.map(({status}) => status)).toEqual(Array.from({length: 7}, () => 200));
	return pair.back.target.ranAttemptIds.findIndex(id => id.startsWith('hasty'));
}

/** Has six requests of the lowest rank wait at a target that runs one at a time, and then one of the highest, all of one organisation. @returns the place of the last one among the runs */
async function findUrgentPlace(): Promise<number> {
	mesh = new Mesh();
	const routes = [createRoute('calm', 'back', {rank: 2, timeoutMs: 8000}), createRoute('urgent', 'back', {rank: 0, timeoutMs: 8000})];
	const pair = await mesh.addPair({routes, back: {slots: 1, workMs: 100}});
	mesh.configure({
		...createSiteSpec(routes, 2), organisations: [{
			name: 'acme', keys: ['key'], burst: 0, rank: 1,
		}],
	});
	await mesh.settle();
	const send = async (kind: string, number: number) => call(pair.port, `/${kind}/`, {headers: {...createAttemptHeaders(`${kind}${number}`), authorization: 'Bearer key'}});
	const calm = Array.from({length: 6}, async (_, number) => send('calm', number));
	await sleep(50);
	const ended = await Promise.all([...calm, send('urgent', 0)]);
	expect(ended.map(({status}) => status)).toEqual(Array.from({length: 7}, () => 200));
	return pair.back.target.ranAttemptIds.indexOf('urgent0');
}

describe('the queue of an owner', () => {
	it('serves an urgent route of an organisation before its other routes, though the organisation has a rank of its own', async () => {
		expect(await findUrgentPlace()).toBeLessThan(3);
	});

	it('serves a request that is due soon before those of its rank that came earlier and are due later', async () => {
		expect(await findHastyPlace(false)).toBeLessThan(3);
	});

	it('serves nested calls by the objective of their roots, not by that of their own route', async () => {
		expect(await findHastyPlace(true)).toBeLessThan(3);
	});
});
