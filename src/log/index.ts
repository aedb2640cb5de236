export {ErrorLimit} from './errorlimit.js';
export {Logger, formatRecord, type LogFields} from './logger.js';
export {type Counter, StatsdReporter, type StatsdOptions} from './statsdreporter.js';
export {EventLog} from './eventlog.js';
export {type Labels, MetricsRegistry} from './metricsregistry.js';
export {traceAttempt} from './trace.js';
