export {Clock, ManualClock, SystemClock} from './clock.js';
export {afterSockets} from './aftersockets.js';
export {CachedClock} from './cachedclock.js';
export {RunningClock} from './runningclock.js';
export {sleep} from './sleep.js';
