export {Logger, formatRecord, type LogFields} from './logger.js';
export {type Counter, CounterFeed, type FeedOptions} from './counterfeed.js';
export {EventLog} from './events.js';
export {type Labels, Registry} from './registry.js';
export {traceOf} from './trace.js';
