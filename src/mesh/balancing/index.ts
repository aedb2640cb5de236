export {type CallToPlace, LoadBalancer} from './loadbalancer.js';
export {type LoadBalancerOptions, LOAD_BALANCING} from './loadbalanceroptions.js';
export {type LoadReport} from './loadreport.js';
export {UnreachableHosts} from './unreachablehosts.js';
export {BusyTime} from './busytime.js';
export {TargetSpeed} from './targetspeed.js';
export {type ObservedRun, MachineLoad} from './machineload.js';
export {Knee} from './knee.js';
export {ServiceTimes} from './servicetimes.js';
