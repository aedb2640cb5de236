/**
 * Prints how many bytes of gossip daemons send to other failure domains, by kind of frame and by what happens, and
 * how they grow with the daemons, in virtual time: `npm run bench:gossip -- [DAEMONS...] [--domains N]`.
 */
import {mock} from 'node:test';
import process from 'node:process';
import {setImmediate as turn} from 'node:timers/promises';
import {cac} from 'cac';
import {DirectoryMesh, type MeshMember} from '../../fakes/directorymesh.js';
import {MemoryStore} from '../../fakes/memorystore.js';
import {type Frame, FrameTag, encodeFrame} from '../../src/relay/peers/frame.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';

const SIZES = [30, 100, 300, 960];
const ROUTE_COUNT = 300;
const START_MS = 12_000;
const QUIET_MS = 10_000;
const CHANGE_MS = 3000;
/** How long after the start of one restart the next one follows, and how many there are. */
const RESTART_MS = 200;
const RESTART_COUNT = 20;
const SETTLE_MS = 4000;

const tagNames = new Map<number, string>(Object.entries(FrameTag).map(([name, tag]) => [tag, name]));

type Traffic = Map<string, number>;
type Row = {readonly what: string; readonly traffic: Traffic; readonly knownMs?: number | undefined};

async function advance(ms: number): Promise<void> {
	for (let at = 0; at < ms; at++) {
		mock.timers.tick(1);
		// eslint-disable-next-line no-await-in-loop -- lets what the timers have resolved run
		await turn();
	}
}

async function advanceUntil(isDone: () => boolean, limitMs: number): Promise<number | undefined> {
	for (let at = 0; at < limitMs; at += 5) {
		if (isDone()) {
			return at;
		}

		// eslint-disable-next-line no-await-in-loop -- one step after the other
		await advance(5);
	}

	return undefined;
}

/** Plays one size, and returns what each event sent across failure domains. */
async function measure(daemonCount: number, domainCount: number): Promise<Row[]> {
	mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date'], now: 1});
	const store = new MemoryStore();
	const configure = (version: number) => {
		store.set('site', 'main', createSiteSpec(Array.from({length: ROUTE_COUNT}, (_, index) => createRoute(`r${index}`, `s${index % 40}`)), version));
	};

	configure(1);
	let traffic: Traffic = new Map();
	const sizes = new WeakMap<Frame, number>();
	const onSend = (frame: Frame, from: MeshMember, to: MeshMember) => {
		if (from.failureDomain !== to.failureDomain) {
			const bytes = sizes.get(frame) ?? encodeFrame(frame).length;
			sizes.set(frame, bytes);
			const name = tagNames.get(frame[0])!;
			traffic.set(name, (traffic.get(name) ?? 0) + bytes);
		}

		return false;
	};

	const mesh = new DirectoryMesh(store, daemonCount, {domainCount, onSend});
	const rows: Row[] = [];
	const record = async (what: string, play: () => Promise<number | undefined>) => {
		traffic = new Map();
		const knownMs = await play();
		rows.push({what, traffic, knownMs});
	};

	const isKnownToAll = (know: (member: MeshMember) => boolean) => () => mesh.members.every(member => !member.isUp || know(member));
	await record('start', async () => advanceAll(START_MS));
	await record('quiet', async () => advanceAll(QUIET_MS));
	await record('configuration', async () => {
		configure(2);
		const knownMs = await advanceUntil(isKnownToAll(({siteVersion}) => siteVersion === 2), CHANGE_MS);
		await advance(CHANGE_MS - (knownMs ?? CHANGE_MS));
		return knownMs;
	});
	await record('entry', async () => {
		const [changed] = mesh.members;
		changed.directory.publish({...changed.entry, target: undefined});
		const knownMs = await advanceUntil(isKnownToAll(({hosts}) => hosts.get(changed.name)?.target === undefined), CHANGE_MS);
		await advance(CHANGE_MS - (knownMs ?? CHANGE_MS));
		return knownMs;
	});
	await record('restarts', async () => {
		for (const member of mesh.members.slice(1, 1 + RESTART_COUNT)) {
			mesh.kill([member]);
			mesh.restart(member, {...member.entry, target: {...member.entry.target!, bornMs: 1}});
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await advance(RESTART_MS);
		}

		return advanceAll(SETTLE_MS);
	});
	mock.timers.reset();
	return rows;
}

async function advanceAll(ms: number): Promise<undefined> {
	await advance(ms);
	return undefined;
}

const totalOf = (traffic: Traffic) => [...traffic.values()].reduce((sum, bytes) => sum + bytes, 0);

const cli = cac('bench:gossip');
cli.option('--domains [count]', 'failure domains', {default: 3});
const {args, options} = cli.parse(process.argv);
const previous = new Map<string, {daemonCount: number; bytes: number}>();
for (const daemonCount of args.length > 0 ? args.map(Number) : SIZES) {
	const start = process.cpuUsage();
	// eslint-disable-next-line no-await-in-loop -- one size after the other
	for (const {what, traffic, knownMs} of await measure(daemonCount, Number(options.domains))) {
		const bytes = totalOf(traffic);
		const last = previous.get(what);
		const power = last === undefined ? '' : ` power=${(Math.log(bytes / last.bytes) / Math.log(daemonCount / last.daemonCount)).toFixed(2)}`;
		previous.set(what, {daemonCount, bytes});
		const kinds = [...traffic].toSorted(([, a], [, b]) => b - a).map(([name, sum]) => `${name}:${(sum / 1000).toFixed(1)}`).join(' ');
		console.log(`daemons=${daemonCount} ${what} across_kb=${(bytes / 1000).toFixed(1)}${power} known_ms=${knownMs ?? '-'} kb_by_kind: ${kinds}`);
	}

	const {user, system} = process.cpuUsage(start);
	console.log(`daemons=${daemonCount} cpu_s=${((user + system) / 1e6).toFixed(0)}`);
}

// eslint-disable-next-line unicorn/no-process-exit -- the daemons of the meshes have timers
process.exit();
