export {Clock, ManualClock, SystemClock} from './clock.js';
export {TickClock} from './tick.js';
