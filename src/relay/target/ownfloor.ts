import {type EventLog} from '../../log/index.js';
import {type AdmissionQueue, type LoadShedder, type TargetLifecycle} from '../../mesh/index.js';
import {type OwnedCall} from './ownedcall.js';

export type OwnFloorOptions = {
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly loadShedder: LoadShedder;
	readonly queue: AdmissionQueue<OwnedCall>;
};

/** Keeps the floor below which the target beside this daemon can't serve what comes. */
export class OwnFloor {
	readonly #options: OwnFloorOptions;

	constructor(options: OwnFloorOptions) {
		this.#options = options;
	}

	update(nowMs: number): void {
		const {lifecycle, loadShedder, queue} = this.#options;
		const service = lifecycle.current?.service;
		if (service !== undefined) {
			const previousFloor = loadShedder.floor;
			loadShedder.updateFloor(service, {
				// The rate limit is left out: a floor sheds requests of the whole service, while its other targets may have room.
				limit: queue.limit,
				queuedWorkMs: level => queue.queuedWorkMs(level),
				isSaturated: queue.running >= queue.limit,
			}, nowMs);
			this.#logChange(previousFloor);
		}
	}

	#logChange(previousFloor: number): void {
		const {log, loadShedder: {floor}, queue: {running, queued, limit}} = this.#options;
		if ((previousFloor === 0) !== (floor === 0)) {
			log.event(floor === 0 ? 'floor_lifted' : 'floor_set', {
				floor, running, queued, limit,
			});
		}
	}
}
