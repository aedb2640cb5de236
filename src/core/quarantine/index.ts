export {
	type CrashReport, type CrashScene, type Survival, chanceWithout, startOf,
} from './crashreport.js';
export {
	type HeldRequest, type Hold, holdMs, maxHoldMs,
} from './hold.js';
export {
	type Crash, type CrashJudgement, type LostRun, judgeCrash,
} from './crashjudgement.js';
export {AnsweredCalls} from './answeredcalls.js';
export {
	type TrialCall, type TrialQueue, type TrialRefusal, Trials,
} from './trials.js';
export {type Inquiry, type LostRequest, findSingleSuspect} from './inquiry.js';
export {
	type CrashFinding, type QuarantineNews, type QuarantineVerdict, type SingleSuspect, Quarantine,
} from './quarantine.js';
export {CRASH_MEMORY_MS} from './suspects.js';
export {type TrialStep, TrialSchedule} from './trialschedule.js';
