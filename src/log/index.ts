export {Logger, formatRecord, type LogFields} from './logger.js';
export {EventLog} from './events.js';
