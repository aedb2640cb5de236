export {
	type Answer, type Outcome, type Payload, type Reason, REFUSED_RETRY_AFTER_MS, createUnknownAnswer,
} from './answer.js';
export {Catalog, type Operation} from './catalog.js';
export {SITE_OBJECT_NAME, serviceObjectName} from './configstore.js';
export {type Explanation, type ExplainQuery} from './explain.js';
export {type Call, type Frame} from './frame.js';
export {MAX_KEY_LENGTH} from './idempotencykey.js';
export {type LoadView, FloorController} from './floorcontroller.js';
export {
	LEVELS_PER_RANK, MAX_FLOOR, RANK_COUNT, levelOf, rankOf,
} from './level.js';
export {type FloorReport, FloorTable} from './floortable.js';
export {type Member} from './member.js';
export {
	type Announcement, type Input, type JoinRecord, type Output, type PlatformReply, type PlatformRequest, type RequestId, type LinkSide, type TargetResult,
} from './message.js';
export {ConnectionReuse} from './connectionreuse.js';
export {Digest} from './digest.js';
export {
	type MeshPeer, chooseByRendezvous, chooseNeighbors, electForDuty, isElectedForDuty,
} from './neighbors.js';
export {DaemonCore, LAME_DUCK_MS} from './daemoncore.js';
export {type CoreOptions} from './coreoptions.js';
export {type IdentifiedRequest, RequestIdentity} from './requestidentity.js';
export {
	type ClassSpec, type ConfigObject, type OperationSpec, type ServiceSpec, type SiteSpec,
} from './spec.js';
export {type DaemonStatus} from './daemonstatus.js';
export * from './quarantine/index.js';
