import {setTimeout as sleep} from 'node:timers/promises';
import {Quarantine} from '../../src/core/index.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';
import {
	type RuleCheck, replaceMethod, sendAttempt, violationIf,
} from './rulecheck.js';

const DEADLY_PATH = '/x/deadly';
const COPIES = 3;
const SENDS = 30;
const SEND_INTERVAL_MS = 100;
/** How long after the third crash the request may still be sent; after that, in three retries. */
const CONTACT_MS = 1000;
const MAX_RETRIES = 3;

/** Checks the rule on requests that crash the targets that run them. */
export const CRASH_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'BUDGET, a request that crashes targets',
		settings: {quarantineMs: 30_000},
		async run(mesh) {
			mesh.configure(createSiteSpec([createRoute('x', 'back')]));
			const {settings} = await mesh.addHost('client', {
				id: 'i-client', service: 'front', slots: 10, workMs: 10,
			});
			const targets = [];
			for (let index = 0; index < COPIES; index++) {
				// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
				const {target} = await mesh.addHost(`copy-${index}`, {
					id: `i-copy-${index}`, service: 'back', slots: 10, workMs: 50,
				});
				target.crashesOn = ({url}) => url === DEADLY_PATH;
				targets.push(target);
			}

			await mesh.settle();
			for (let number = 0; number < SENDS; number++) {
				void sendAttempt(settings.listen.requests.port, DEADLY_PATH, `d${number}`);
				// eslint-disable-next-line no-await-in-loop -- its client comes again
				await sleep(SEND_INTERVAL_MS);
			}

			const runsMs = targets.flatMap(({receivedTimesMs}) => receivedTimesMs).toSorted((a, b) => a - b);
			const late = runsMs.filter(atMs => atMs > runsMs[2] + CONTACT_MS).length;
			return violationIf(late > MAX_RETRIES, `${late} runs later than ${CONTACT_MS} ms after the third of a request that crashes targets`);
		},
		sabotage: {
			title: 'what daemons know of the request makes no difference',
			apply: () => replaceMethod(Quarantine.prototype, 'verdictOf', () => 'pass'),
		},
	},
];
