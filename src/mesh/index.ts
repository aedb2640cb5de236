export {
	type Destination, type Repeatability, type Route, RouteTable,
} from './route.js';
export {
	type ClientLimits, type ServiceSpec, type SiteSpec, Site,
} from './site.js';
export {Splitter} from './split.js';
export {type Announcement, type Farewell, type TargetState} from './target.js';
export {type LifecycleChange, Lifecycle} from './lifecycle.js';
export {type HostEntry, type PublishedTarget, HostTable} from './host.js';
export {
	type LoadReport, type PlacementOptions, PLACEMENT, Placement,
} from './placement.js';
export {
	type GateCall, type GateDecision, type GateRefusal, Gate, usableSlots,
} from './gate.js';
export {type RetryBudgetOptions, RetryBudget} from './retrybudget.js';
export {LostHosts} from './lost.js';
export {RestLimit} from './rest.js';
export {ServiceTimes} from './servicetimes.js';
export {type ComebackReason, comebackMs} from './comeback.js';
export {
	type Standing, type Way, type Workload, Shedding,
} from './shedding.js';
export {
	type Allowance, Attempts, type AttemptsParts, type Turnaway,
} from './attempts.js';
