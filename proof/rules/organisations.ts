import {setTimeout as sleep} from 'node:timers/promises';
import {BudgetSharing, type Organisation, OrganisationTable} from '../../src/mesh/index.js';
import {
	createRoute, createSiteSpec, type Mesh, type MeshHost,
} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {
	type RuleCheck, replaceMethod, sendAttempt, violationIf,
} from './rulecheck.js';

const RATE_PER_S = 10;
const BURST = 10;
const WINDOW_S = 5;
/** The most requests of the limited organisation that the rule allows in a window. */
const ALLOWED_RUNS = (((RATE_PER_S * WINDOW_S) + BURST) * 1.1) + 20;
const REQUEST_INTERVAL_MS = 15;
/** How long links and accountants take to be ready, in ms. */
const SETTLING_MS = 2500;
/** How long after its acceptance a configuration must be in force, in ms. */
const CONFIG_MS = 2000;

const FIRST: Organisation = {name: 'first', keys: ['key-1'], burst: 0};
const SECOND: Organisation = {name: 'second', keys: ['key-2'], burst: 0};
const LIMITED: Organisation = {
	name: 'limited', keys: ['key-3'], ratePerS: RATE_PER_S, burst: BURST,
};

function configure(mesh: Mesh, organisations: readonly Organisation[], version = 1): void {
	mesh.configure({...createSiteSpec([createRoute('x', 'back', {timeoutMs: 10_000})], version), organisations});
}

async function addHosts(mesh: Mesh): Promise<MeshHost[]> {
	configure(mesh, [FIRST, SECOND, LIMITED]);
	const hosts: MeshHost[] = [];
	for (const name of ['1', '2']) {
		// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
		hosts.push(await mesh.addHost(name, {
			id: `i-${name}`, service: 'back', slots: 50, workMs: 1,
		}));
	}

	await mesh.settle();
	return hosts;
}

const send = async ({settings}: MeshHost, id: string, key: string) => sendAttempt(settings.listen.requests.port, '/x/', id, {headers: {authorization: `Bearer ${key}`, [meshHeaders.organisation]: 'third'}});
const received = (hosts: readonly MeshHost[]) => hosts.flatMap(({target}) => target.receivedRequests);

/** Checks the rules on organisations: whose requests run, under which name, and how many. */
export const ORGANISATION_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'UNASKED, by organisation',
		async run(mesh) {
			const hosts = await addHosts(mesh);
			await send(hosts[0], 'r-1', 'key-2');
			const [{headers}] = received(hosts);
			const isRight = headers[meshHeaders.organisation] === 'second' && headers.authorization === undefined;
			return violationIf(!isRight, `a request with the key of second ran for ${String(headers[meshHeaders.organisation])}`);
		},
		sabotage: {
			title: 'every key counts as that of the first organisation',
			apply: () => replaceMethod(OrganisationTable.prototype, 'findByKey', () => FIRST),
		},
	},
	{
		rule: 'ROUTE, by key',
		async run(mesh) {
			const hosts = await addHosts(mesh);
			const {status} = await send(hosts[0], 'r-1', 'nobody');
			return violationIf(status !== 401 || received(hosts).length > 0, `a request with a key that nobody holds got ${status}`);
		},
		sabotage: {
			title: 'every key counts as that of the first organisation',
			apply: () => replaceMethod(OrganisationTable.prototype, 'findByKey', () => FIRST),
		},
	},
	{
		rule: 'CONFIG, by key',
		async run(mesh) {
			const hosts = await addHosts(mesh);
			await send(hosts[0], 'r-1', 'key-2');
			configure(mesh, [FIRST, LIMITED], 2);
			await sleep(CONFIG_MS);
			const {status} = await send(hosts[0], 'r-2', 'key-2');
			return violationIf(status !== 401, `a key that was withdrawn ${CONFIG_MS} ms before got ${status}`);
		},
		sabotage: {
			title: 'keys that were known once stay known',
			apply() {
				const known = new Map<string, Organisation>();

				const {findByKey} = OrganisationTable.prototype;
				return replaceMethod(OrganisationTable.prototype, 'findByKey', function (this: OrganisationTable, key) {
					const organisation = findByKey.call(this, key) ?? known.get(key);
					if (organisation !== undefined) {
						known.set(key, organisation);
					}

					return organisation;
				});
			},
		},
	},
	{
		rule: 'QUOTA',
		async run(mesh) {
			const hosts = await addHosts(mesh);
			await sleep(SETTLING_MS);
			const answers: Array<ReturnType<typeof send>> = [];
			const endMs = Date.now() + (WINDOW_S * 1000);
			while (Date.now() < endMs) {
				answers.push(send(hosts[answers.length % hosts.length], `q-${answers.length}`, 'key-3'));
				// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
				await sleep(REQUEST_INTERVAL_MS);
			}

			await Promise.all(answers);
			const runs = received(hosts).length;
			return violationIf(runs > ALLOWED_RUNS, `${runs} requests in ${WINDOW_S} s of an organisation that may send ${RATE_PER_S} a second and ${BURST} at once`);
		},
		sabotage: {
			title: 'each daemon admits whatever comes',
			apply: () => replaceMethod(BudgetSharing.prototype, 'trySpend', () => ({isAdmitted: true})),
		},
	},
];
