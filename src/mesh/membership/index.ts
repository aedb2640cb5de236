export {NO_SIGNALS, type TargetSignals} from './targetsignals.js';
export {TargetSignalTable} from './targetsignaltable.js';
export {
	type Announcement, type Deregistration, type EndedStart, type TargetState,
} from './target.js';
export {type LifecycleChange, TargetLifecycle, UNKNOWN_START_MS} from './targetlifecycle.js';
export {
	type HostEntry, type HostRecord, type PublishedTarget, HostTable,
} from './host.js';
export {type FreshnessLeaseOptions, FreshnessLease} from './freshnesslease.js';
export {meshPeerOf} from './meshpeer.js';
export {chooseMeshNeighbors} from './meshneighbors.js';
export {type StoreWatchers, electStoreWatchers} from './storewatchers.js';
