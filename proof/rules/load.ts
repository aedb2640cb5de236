import {RetryBudget} from '../../src/mesh/index.js';
import {Exchange} from '../../src/relay/clients/exchange.js';
import {TargetOwner} from '../../src/relay/target/targetowner.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {type BehaviourOverride} from '../../standins/meshtarget.js';
import {
	type RuleCheck, type Undo, violationIf, replaceMethod, sendAttempt,
} from './rulecheck.js';

const REQUESTS = 320;
/** Requests in flight at once. */
const CONCURRENCY = 16;
/** Retries that the retry budget of the stand-ins' site allows for `REQUESTS` requests. */
const ALLOWED_RETRIES = (REQUESTS * 0.2) + 48;
const TIMEOUT_MS = 300;
/** Tolerated delay of a timeout. */
const SLACK_MS = 500;

export const LOAD_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'BUDGET',
		async run(mesh) {
			mesh.configure(createSiteSpec([createRoute('x', 'back')]));
			const front = await mesh.addHost('front', {
				id: 'i-front', service: 'front', slots: 4, workMs: 1,
			});
			let arrivals = 0;
			const shed: BehaviourOverride = (_request, response) => {
				arrivals++;
				response.writeHead(503, {[meshHeaders.notRun]: '1'});
				response.end();
			};

			for (const name of ['1', '2', '3']) {
				// eslint-disable-next-line no-await-in-loop -- hosts are added in turn
				const {target} = await mesh.addHost(`back-${name}`, {
					id: `i-${name}`, service: 'back', slots: 50, workMs: 1,
				});
				target.behaviourOverride = shed;
			}

			await mesh.settle();
			let sent = 0;
			await Promise.all(Array.from({length: CONCURRENCY}, async () => {
				while (sent < REQUESTS) {
					// eslint-disable-next-line no-await-in-loop -- each loop keeps one request in flight
					await sendAttempt(front.settings.listen.requests.port, '/x/', `a${sent++}`);
				}
			}));
			return violationIf(arrivals - REQUESTS > ALLOWED_RETRIES, `${arrivals - REQUESTS} retries for ${REQUESTS} requests`);
		},
		sabotage: {
			title: 'the retry budget never refuses',
			apply: () => replaceMethod(RetryBudget.prototype, 'spend', () => true),
		},
	},
	{
		rule: 'CONFIG, time-outs',
		async run(mesh) {
			mesh.configure(createSiteSpec([createRoute('x', 'back', {timeoutMs: TIMEOUT_MS})]));
			const front = await mesh.addHost('front', {
				id: 'i-front', service: 'front', slots: 4, workMs: 1,
			});
			const back = await mesh.addHost('back', {
				id: 'i-back', service: 'back', slots: 4, workMs: 1,
			});
			back.target.behaviourOverride = () => undefined;
			await mesh.settle();
			const startMs = performance.now();
			await sendAttempt(front.settings.listen.requests.port, '/x/', 'a1', {signal: AbortSignal.timeout(TIMEOUT_MS + (SLACK_MS * 2))});
			const lateMs = Math.round(performance.now() - startMs - TIMEOUT_MS);
			return violationIf(lateMs > SLACK_MS, `a request was answered ${lateMs} ms after its route's timeout`);
		},
		sabotage: {
			title: 'neither the request server nor the owner checks timeouts',
			apply(): Undo {
				const undos = [replaceMethod(Exchange.prototype, 'checkTime', () => undefined), replaceMethod(TargetOwner.prototype, 'checkTimes', () => undefined)];
				return () => {
					for (const undo of undos) {
						undo();
					}
				};
			},
		},
	},
];
