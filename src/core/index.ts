export {
	type Answer, type Outcome, type Payload, type Reason,
} from './answer.js';
export {Catalog, type Operation} from './catalog.js';
export {SITE_OBJECT, serviceObject} from './config.js';
export {type Explanation, type Question} from './explain.js';
export {type Call, type Frame} from './frame.js';
export {MAX_KEY_LENGTH} from './key.js';
export {type LoadView, FloorController} from './controller.js';
export {
	BUCKETS, CLOSED, RANKS, levelOf, rankOf,
} from './level.js';
export {type PressureReport, PressureTable} from './pressure.js';
export {type Member} from './member.js';
export {
	type Announcement, type Input, type JoinRecord, type Output, type PlatformReply, type PlatformRequest, type RequestId, type Side, type TargetResult,
} from './message.js';
export {Node} from './node.js';
export {type NodeOptions} from './options.js';
export {
	type ClassSpec, type ConfigObject, type OperationSpec, type ServiceSpec, type SiteSpec,
} from './spec.js';
export {type Status} from './status.js';
