import {type Answer} from './answer.js';
import {type AdmissionController} from './admissioncontroller.js';
import {type ConfigStore} from './configstore.js';
import {type Frame} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Heartbeat} from './links.js';
import {type Membership} from './membership.js';
import {type FloorTable} from './floortable.js';
import {type LoadBalancer} from './loadbalancer.js';

/** The components that the reporter uses; all belong to the same daemon. */
export type LoadReporterParts = {
	readonly self: string;
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly admission: AdmissionController;
	readonly floorTable: FloorTable;
	readonly loadBalancer: LoadBalancer;
};

/** Exchanges load and floors with other daemons, on answers and heartbeats. */
export class LoadReporter {
	readonly #parts: LoadReporterParts;

	constructor(parts: LoadReporterParts) {
		this.#parts = parts;
	}

	/** Records a peer's load and the floors that it reports for its own and other services. */
	recordPeerReport(peer: string, {load, pressure: floorReports}: Pick<Heartbeat, 'load' | 'pressure'>): void {
		this.#parts.loadBalancer.onReport(peer, load);
		for (const floorReport of floorReports) {
			this.#parts.floorTable.record(floorReport, this.#parts.coreContext.nowMs);
		}
	}

	buildHeartbeat(peer: string): Heartbeat {
		const {membership, config, admission, floorTable, coreContext} = this.#parts;
		return {
			members: membership.digest,
			config: config.digest,
			load: admission.reportLoad(),
			pressure: floorTable.reportsFor(peer, coreContext.nowMs),
		};
	}

	/** Returns the frame that answers a peer's call. */
	buildAnswerFrame(peer: string, id: number, answer: Answer, tokens: number): Frame {
		const {admission, floorTable, coreContext} = this.#parts;
		return {
			type: 'answer', id, answer, tokens, load: admission.reportLoad(), pressure: floorTable.reportsFor(peer, coreContext.nowMs),
		};
	}

	/** Records the floor of this daemon's own target, so that it is reported along with the others. */
	recordOwnFloor(): void {
		const {admission: {announcement, floorController}, floorTable, self, coreContext} = this.#parts;
		if (announcement !== undefined) {
			floorTable.record({
				service: announcement.service, upstream: self, floor: floorController.floor, ageMs: 0,
			}, coreContext.nowMs);
		}
	}
}
