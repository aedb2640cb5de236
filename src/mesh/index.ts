export {
	type Destination, type Repeatability, type Route, RouteTable,
} from './route.js';
export {
	type ClientLimits, type ServiceSpec, type SiteSpec, Site,
} from './site.js';
export {NO_SIGNALS, type TargetSignals} from './targetsignals.js';
export {TargetSignalTable} from './targetsignaltable.js';
export {RateLimiter} from './ratelimiter.js';
export {TrafficSplitter} from './trafficsplitter.js';
export {type Announcement, type Deregistration, type TargetState} from './target.js';
export {type LifecycleChange, TargetLifecycle, UNKNOWN_START_MS} from './targetlifecycle.js';
export {
	type HostEntry, type HostRecord, type PublishedTarget, HostTable,
} from './host.js';
export {type FreshnessLeaseOptions, FreshnessLease} from './freshnesslease.js';
export {meshPeerOf} from './meshpeer.js';
export {type StoreWatchers, electStoreWatchers} from './storewatchers.js';
export {
	type LoadReport, type LoadBalancerOptions, LOAD_BALANCING, LoadBalancer,
} from './loadbalancer.js';
export {
	type QueuedCall, type AdmissionDecision, type AdmissionRefusal, AdmissionQueue, usableSlots,
} from './admissionqueue.js';
export {type RetryBudgetOptions, RetryBudget} from './retrybudget.js';
export {UnreachableHosts} from './unreachablehosts.js';
export {IdleConnectionLimit} from './idleconnectionlimit.js';
export {BusyTime} from './busytime.js';
export {TargetSpeed} from './targetspeed.js';
export {ServiceTimes} from './servicetimes.js';
export {type RetryCause, chooseRetryAfterMs} from './retryafter.js';
export {
	type Priority, type RoutedService, type TargetLoad, LoadShedder,
} from './loadshedder.js';
export {
	type TimeLimits, Attempts, type AttemptsParts, type HostRefusal,
} from './attempts.js';
