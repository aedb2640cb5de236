import {existsSync, readFileSync} from 'node:fs';
import {SourceMap} from 'node:module';

type CallFrame = {readonly functionName: string; readonly url: string; readonly lineNumber: number; readonly columnNumber: number};
type ProfileNode = {readonly id: number; readonly callFrame: CallFrame; readonly children?: readonly number[]};

/** A profile as V8 writes it; times in µs. */
export type CpuProfile = {readonly nodes: readonly ProfileNode[]; readonly samples: readonly number[]; readonly timeDeltas: readonly number[]};

/** The part of a daemon to which code belongs, by its file; the first that matches counts. */
const PARTS: ReadonlyArray<readonly [RegExp, string]> = [
	[/node_modules\/undici/v, 'HTTP out'],
	[/node_modules\/(?:ws|msgpackr)|src\/wire|peers\/(?:link|links|peerserver|frame)/v, 'frames'],
	[/node:_http_|node:internal\/http|clients\/(?:responsewriter|requestserver|requestbody)/v, 'HTTP in'],
	[/target\/(?:run|targetclient|unknownheaders|targetsignals)/v, 'HTTP out'],
	[/metricsregistry|hdr-histogram|hdrformatters/v, 'metrics'],
	[/src\/log|node_modules\/bunyan/v, 'logs'],
	[/src\/mesh|src\/core|murmurhash|clients\/exchange|target\/targetowner|target\/ownedcall/v, 'decisions'],
	[/periodiccheck|node:internal\/timers|node:timers|src\/clock/v, 'timers'],
	[/peers\/gossip|store\/|platform\/|zod|targetmonitor|announcementendpoint/v, 'membership'],
];

/** The self time of each part and function in profiles, in ms. */
export class ProfileTable {
	readonly parts = new Map<string, number>();
	readonly functions = new Map<string, number>();
	readonly #map: SourceMap | undefined;

	/** @param mapFile the source map of the bundle; without it functions have no file */
	constructor(mapFile: string) {
		this.#map = existsSync(mapFile) ? new SourceMap(JSON.parse(readFileSync(mapFile, 'utf8')) as ConstructorParameters<typeof SourceMap>[0]) : undefined;
	}

	add({nodes, samples, timeDeltas}: CpuProfile): void {
		const nodesById = new Map(nodes.map(node => [node.id, node]));
		const parentIds = new Map(nodes.flatMap(({id, children = []}) => children.map(child => [child, id] as const)));
		for (const [index, id] of samples.entries()) {
			const ms = timeDeltas[index] / 1000;
			const {callFrame} = nodesById.get(id)!;
			const name = callFrame.functionName;
			if (name === '(idle)') {
				continue;
			}

			const file = this.#fileOf(callFrame);
			addTo(this.functions, `${name || '(anonymous)'} ${file}`, ms);
			let part = name === '(garbage collector)' ? 'garbage' : undefined;
			// Code of no part, such as that of sockets, counts for the part that called it.
			for (let at: number | undefined = id; at !== undefined && part === undefined; at = parentIds.get(at)) {
				part = partOf(this.#fileOf(nodesById.get(at)!.callFrame));
			}

			addTo(this.parts, part ?? (name === '(program)' ? 'outside JavaScript' : 'sockets and the event loop'), ms);
		}
	}

	#fileOf({url, lineNumber, columnNumber}: CallFrame): string {
		if (this.#map === undefined || !url.endsWith('daemon.cjs')) {
			return url;
		}

		const entry = this.#map.findEntry(lineNumber, columnNumber);
		return 'originalSource' in entry ? entry.originalSource.replace(/^(?:\.\.\/)+/v, '') : url;
	}
}

function partOf(file: string): string | undefined {
	return PARTS.find(([pattern]) => pattern.test(file))?.[1];
}

function addTo(sums: Map<string, number>, key: string, ms: number): void {
	sums.set(key, (sums.get(key) ?? 0) + ms);
}
