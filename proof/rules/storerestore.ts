import {setTimeout as sleep} from 'node:timers/promises';
import {ActiveSite} from '../../src/relay/store/activesite.js';
import {HOST_KIND, OwnEntry} from '../../src/relay/store/ownentry.js';
import {type Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {
	type RuleCheck, replaceMethod, sendAttempt, violationIf,
} from './rulecheck.js';

/** The time within which a configuration must be in force, and a lost entry must be in the store again. */
const BOUND_MS = 2000;

const addTarget = async (mesh: Mesh, name: string) => mesh.addHost(name, {
	id: `i-${name}`, service: 'back', slots: 4, workMs: 1,
});

const configure = (mesh: Mesh, routes: readonly string[], version: number) => {
	mesh.configure(createSiteSpec(routes.map(name => createRoute(name, 'back')), version));
};

/** Checks what must hold after the store was restored from an older copy. */
export const STORE_RESTORE_CHECKS: readonly RuleCheck[] = [
	{
		rule: 'CONFIG, from an older copy',
		async run(mesh) {
			configure(mesh, ['x', 'y'], 1);
			const {settings: {listen}} = await addTarget(mesh, '1');
			await mesh.settle();
			const copy = mesh.store.copy();
			configure(mesh, ['x'], 2);
			await mesh.settle();
			mesh.store.restore(copy);
			await sleep(BOUND_MS);
			const {status} = await sendAttempt(listen.requests.port, '/y/', 'a1');
			return violationIf(status !== 404, `the route that was removed answered ${status}`);
		},
		sabotage: {
			title: 'what the store sends last counts as the newest',
			apply() {
				const {offer} = ActiveSite.prototype;
				return replaceMethod(ActiveSite.prototype, 'offer', function (this: ActiveSite, object) {
					offer.call(this, {...object, value: {...(object.value as object), version: Date.now()}});
				});
			},
		},
	},
	{
		rule: 'entries lost with an older copy',
		async run(mesh) {
			configure(mesh, ['x'], 1);
			await addTarget(mesh, '1');
			const copy = mesh.store.copy();
			await addTarget(mesh, '2');
			await mesh.settle();
			mesh.store.restore(copy);
			await sleep(BOUND_MS);
			const stored = mesh.store.list(HOST_KIND).objects.map(({name}) => name);
			return violationIf(!stored.includes('2'), 'the entry of a running daemon is not in the store');
		},
		sabotage: {
			title: 'daemons don\'t check their entries after the store\'s return',
			apply: () => replaceMethod(OwnEntry.prototype, 'onStoreRestored', () => undefined),
		},
	},
];
