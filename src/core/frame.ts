import {type Answer, type Payload} from './answer.js';
import {type FencingToken, type FenceReply} from './ledger.js';
import {type Member} from './member.js';
import {type FloorReport} from './floortable.js';
import {type QuarantineNews} from './quarantine/index.js';
import {type ConfigObject} from './spec.js';

/** A call to a target, with the context that is passed on to the calls it causes. */
export type Call = {
	readonly service: string;
	readonly operation: string;
	readonly className: string;
	readonly level: number;
	/** The priority floor under which the first daemon admitted the root request. */
	readonly floor: number;
	readonly root: string;
	readonly idempotent: boolean;
	/** The time left until the deadline, in ms. It is a duration, so the hosts' clocks needn't agree. */
	readonly budgetMs: number;
	/** Retry tokens: the retries that this branch of the call tree may still cause. */
	readonly tokens: number;
	readonly key?: string;
	readonly ballot?: FencingToken;
	/** How long the idempotency key must be remembered, in ms from now. */
	readonly keepMs?: number;
	readonly payload: Payload;
};

/** The sender's own load, reported on each answer and heartbeat. */
export type LoadReport = {
	/** Requests that are running or queued. */
	readonly outstanding: number;
	/** The concurrency limit: how many requests run at the same time. */
	readonly limit: number;
};

/** A configuration object's name and generation, or a member's id and version (see `versionOf`). */
export type VersionEntry = readonly [name: string, version: number];

/** A message between two daemons. */
export type Frame
	= | {readonly type: 'call'; readonly id: number; readonly call: Call}
		| {
			readonly type: 'answer';
			readonly id: number;
			readonly answer: Answer;
			/** Retry tokens that were left over. */
			readonly tokens: number;
			readonly load: LoadReport;
			readonly pressure: readonly FloorReport[];
		}
		| {readonly type: 'cancel'; readonly id: number}
		| {
			readonly type: 'fence';
			readonly id: number;
			readonly key: string;
			readonly ballot: FencingToken;
			/** The earliest time at which the key may have been created, in ms since 1970. */
			readonly madeAfterMs: number;
			readonly keepMs: number;
		}
		| {
			readonly type: 'vouch';
			readonly id: number;
			readonly vouch: FenceReply;
			/** All upstreams of the service that the sender knows of. */
			readonly upstreams: readonly Member[];
		}
		| {
			readonly type: 'heartbeat';
			readonly answered: boolean;
			readonly members: number;
			readonly config: number;
			readonly load: LoadReport;
			readonly pressure: readonly FloorReport[];
		}
		| (QuarantineNews & {readonly type: 'quarantine'})
		| {readonly type: 'gossip'; readonly members: readonly Member[]; readonly config: readonly ConfigObject[]}
		| {
			readonly type: 'sync';
			/** Whether the receiver must answer with its own versions. */
			readonly reply: boolean;
			readonly members: readonly VersionEntry[];
			readonly config: readonly VersionEntry[];
		};
