import {type Answer, type Payload} from './answer.js';
import {type Frame} from './frame.js';
import {type ConfigObject} from './spec.js';

/**
 * The direction of a link: `out` was opened by this daemon and carries its
 * calls, `in` was opened by the peer. An answer returns on the link of its call.
 */
export type LinkSide = 'in' | 'out';

/** Identifies a request within the daemon's process. */
export type RequestId = number;

/** A daemon's join record, as the platform stores it. */
export type JoinRecord = {readonly id: string; readonly address: string; readonly startMs: number};

/** What a target reports about itself. */
export type Announcement = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	/** Whether the target has just started, so that its load must increase slowly. */
	readonly cold: boolean;
};

/** How a run at the target ended. */
export type TargetResult
	= | {readonly kind: 'whole'; readonly status: number; readonly payload: Payload; readonly claimsNotRun: boolean}
		| {readonly kind: 'unsent'}
		/** Cancelled before it was sent, at a target that can be reached. */
		| {readonly kind: 'withdrawn'}
		| {
			readonly kind: 'broken';
			/** Whether the target ended the connection, and not this daemon. */
			readonly isLost?: boolean;
		};

/** An event that a daemon's core handles. */
export type Input
	= | {
		readonly type: 'request';
		readonly id: RequestId;
		/** Whether the request comes from the target beside this daemon. */
		readonly fromTarget: boolean;
		/** The running call that the request's context header names, if it carries one. */
		readonly context?: number;
		readonly service: string;
		readonly method: string;
		readonly path: string;
		readonly key?: string;
		readonly attempt?: number;
		readonly budgetMs?: number;
		readonly payload: Payload;
	}
	| {readonly type: 'abandon'; readonly id: RequestId}
	| {readonly type: 'target'; readonly id: number; readonly result: TargetResult}
	| {readonly type: 'frame'; readonly peer: string; readonly side: LinkSide; readonly frame: Frame}
	| {readonly type: 'link'; readonly peer: string; readonly side: LinkSide; readonly up: boolean}
	| {readonly type: 'announce'; readonly announcement: Announcement}
	| {readonly type: 'withdraw'}
	| {readonly type: 'tick'}
	| {readonly type: 'platform'; readonly reply: PlatformReply}
	| {readonly type: 'drain'};

/** A request from the core to the platform. */
export type PlatformRequest
	= | {readonly op: 'load'}
		| {readonly op: 'join'; readonly record: JoinRecord}
		| {readonly op: 'leave'; readonly id: string}
		| {readonly op: 'watch'; readonly on: boolean};

/** A message from the platform. `config` may arrive at any time while a watch is on. */
export type PlatformReply
	= | {readonly op: 'load'; readonly ok: boolean; readonly config: readonly ConfigObject[]; readonly joins: readonly JoinRecord[]}
		| {readonly op: 'join'; readonly ok: boolean}
		| {readonly op: 'config'; readonly objects: readonly ConfigObject[]};

/** An effect that a daemon's core asks its surroundings to carry out. */
export type Output
	= | {readonly type: 'respond'; readonly id: RequestId; readonly answer: Answer}
		| {
			readonly type: 'dispatch';
			readonly id: number;
			readonly budgetMs: number;
			readonly key?: string;
			readonly payload: Payload;
		}
		| {readonly type: 'cancel'; readonly id: number}
		| {readonly type: 'frame'; readonly peer: string; readonly side: LinkSide; readonly frame: Frame}
		| {readonly type: 'connect'; readonly peer: string; readonly address: string}
		| {readonly type: 'disconnect'; readonly peer: string}
		| {readonly type: 'platform'; readonly request: PlatformRequest}
		| {readonly type: 'log'; readonly event: string; readonly fields: Readonly<Record<string, string | number | boolean>>}
		| {readonly type: 'stopped'};
