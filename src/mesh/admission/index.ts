export {FairShares} from './fairshares.js';
export {IndexedHeap} from './indexedheap.js';
export {RateLimiter} from './ratelimiter.js';
export {
	type QueuedCall, type AdmissionDecision, type AdmissionRefusal, AdmissionQueue, usableSlots,
} from './admissionqueue.js';
export {IdleConnectionLimit} from './idleconnectionlimit.js';
export {type RetryCause, chooseRetryAfterMs} from './retryafter.js';
export {
	type Priority, type RoutedService, type RunOutcome, type TargetLoad, LoadShedder,
} from './loadshedder.js';
export {type PatientRequest, PatientAdmission, type WaitDecision} from './patientadmission.js';
export {type WaitingRequest} from './waitingroom.js';
