import {type Answer} from './answer.js';
import {type AdmissionController} from './admissioncontroller.js';
import {type ConfigStore} from './configstore.js';
import {type Frame} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Heartbeat} from './links.js';
import {type Membership} from './membership.js';
import {type FloorTable} from './floortable.js';
import {type LoadBalancer} from './loadbalancer.js';

/** What the reports are made of; all of it belongs to the same daemon. */
export type LoadReporterParts = {
	readonly self: string;
	readonly kernel: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly admission: AdmissionController;
	readonly pressure: FloorTable;
	readonly router: LoadBalancer;
};

/** What daemons tell each other of load and floors, on answers and heartbeats. */
export class LoadReporter {
	readonly #parts: LoadReporterParts;

	constructor(parts: LoadReporterParts) {
		this.#parts = parts;
	}

	/** Takes in what a peer says of itself and of the services below it. */
	recordPeerReport(peer: string, {load, pressure}: Pick<Heartbeat, 'load' | 'pressure'>): void {
		this.#parts.router.onReport(peer, load);
		for (const report of pressure) {
			this.#parts.pressure.record(report, this.#parts.kernel.nowMs);
		}
	}

	buildHeartbeat(peer: string): Heartbeat {
		const {membership, config, admission, pressure, kernel} = this.#parts;
		return {
			members: membership.digest,
			config: config.digest,
			load: admission.reportLoad(),
			pressure: pressure.reportsFor(peer, kernel.nowMs),
		};
	}

	/** The frame that ends a peer's call. */
	buildAnswerFrame(peer: string, id: number, answer: Answer, tokens: number): Frame {
		const {admission, pressure, kernel} = this.#parts;
		return {
			type: 'answer', id, answer, tokens, load: admission.reportLoad(), pressure: pressure.reportsFor(peer, kernel.nowMs),
		};
	}

	/** Enters the own target's floor, to be told with the others. */
	recordOwnFloor(): void {
		const {admission: {announcement, floorController: controller}, pressure, self, kernel} = this.#parts;
		if (announcement !== undefined) {
			pressure.record({
				service: announcement.service, upstream: self, floor: controller.floor, ageMs: 0,
			}, kernel.nowMs);
		}
	}
}
