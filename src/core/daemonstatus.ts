import {type AdmissionController} from './admissioncontroller.js';
import {type ConfigStore} from './configstore.js';
import {type Directory} from './directory.js';
import {type Gossip} from './gossip.js';
import {type CoreContext} from './corecontext.js';
import {type Ledger} from './ledger.js';
import {type Links} from './links.js';
import {type Member} from './member.js';
import {type Membership} from './membership.js';
import {type FloorReport, type FloorTable} from './floortable.js';

/** The state of a daemon, as reported to operators. */
export type DaemonStatus = {
	readonly self: Member;
	readonly isReady: boolean;
	readonly isDraining: boolean;
	readonly isWatching: boolean;
	readonly isPlatformDown: boolean;
	readonly members: readonly Member[];
	readonly generations: Readonly<Record<string, number>>;
	readonly links: readonly string[];
	readonly limit: number;
	readonly running: number;
	readonly queued: number;
	readonly inFlight: number;
	/** The most retries that the whole call tree of one root request has used or lost. */
	readonly maxRetries: number;
	/** The priority level below which this daemon's target can't serve requests; 0 admits all. */
	readonly floor: number;
	readonly pressure: readonly FloorReport[];
	readonly ledgerSize: number;
	readonly spentSlotMs: number;
	readonly wastedSlotMs: number;
	readonly counters: ReadonlyArray<{readonly name: string; readonly labels: string; readonly count: number}>;
};

type Parts = {
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly floorTable: FloorTable;
	readonly admission: AdmissionController;
	readonly ledger: Ledger;
	readonly gossip: Gossip;
	readonly directory: Directory;
	readonly links: Links;
	readonly inFlight: number;
	readonly maxRetries: number;
	readonly isDraining: boolean;
};

export function buildStatus(parts: Parts): DaemonStatus {
	const {coreContext, membership, config, admission, directory} = parts;
	const {spentMs, wastedMs} = admission.slotTime;
	return {
		self: parts.gossip.self,
		isReady: directory.isReady,
		isDraining: parts.isDraining,
		isWatching: directory.isWatching,
		isPlatformDown: directory.isPlatformDown,
		members: [...membership.all()],
		generations: Object.fromEntries([...config.objects.values()].map(({name, generation}) => [name, generation])),
		links: parts.links.connectedPeers(),
		limit: admission.limit,
		running: admission.running,
		queued: admission.queued,
		inFlight: parts.inFlight,
		maxRetries: parts.maxRetries,
		floor: admission.floorController.floor,
		pressure: parts.floorTable.reports(coreContext.nowMs),
		ledgerSize: parts.ledger.size,
		spentSlotMs: Math.round(spentMs),
		wastedSlotMs: Math.round(wastedMs),
		counters: coreContext.counters.entries(),
	};
}
