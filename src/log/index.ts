export {Logger, formatRecord, type LogFields} from './logger.js';
export {EventLog} from './events.js';
export {type Labels, Registry} from './registry.js';
export {traceOf} from './trace.js';
