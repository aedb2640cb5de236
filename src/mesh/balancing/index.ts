export {
	type CallToPlace, type LoadReport, type LoadBalancerOptions, LOAD_BALANCING, LoadBalancer,
} from './loadbalancer.js';
export {UnreachableHosts} from './unreachablehosts.js';
export {BusyTime} from './busytime.js';
export {TargetSpeed} from './targetspeed.js';
export {ServiceTimes} from './servicetimes.js';
