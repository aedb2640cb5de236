import {type Answer, type Payload} from './answer.js';
import {type FencingToken, type FenceReply} from './ledger.js';
import {type Member} from './member.js';
import {type FloorReport} from './floortable.js';
import {type ConfigObject} from './spec.js';

/** A call on its way to a target, with the context that travels down the chain. */
export type Call = {
	readonly service: string;
	readonly operation: string;
	readonly className: string;
	readonly level: number;
	/** The floor under which the first daemon admitted the root. */
	readonly floor: number;
	readonly root: string;
	readonly idempotent: boolean;
	/** The time left, in ms; a duration, so that clocks needn't agree. */
	readonly budgetMs: number;
	/** The retries that this branch may still cause. */
	readonly tokens: number;
	readonly key?: string;
	readonly ballot?: FencingToken;
	/** How long the key must be remembered, in ms from now. */
	readonly keepMs?: number;
	readonly payload: Payload;
};

/** What a daemon says of its own load on each answer and heartbeat. */
export type LoadReport = {
	/** Requests running or queued. */
	readonly outstanding: number;
	/** Requests run at once. */
	readonly limit: number;
};

/** The generation that a daemon holds of an object, or the incarnation of a member. */
export type VersionEntry = readonly [name: string, version: number];

/** What daemons send each other. */
export type Frame
	= | {readonly type: 'call'; readonly id: number; readonly call: Call}
		| {
			readonly type: 'answer';
			readonly id: number;
			readonly answer: Answer;
			/** Retries left over. */
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
			/** The earliest time at which the key may have been made, in ms since 1970. */
			readonly madeAfterMs: number;
			readonly keepMs: number;
		}
		| {
			readonly type: 'vouch';
			readonly id: number;
			readonly vouch: FenceReply;
			/** All upstreams of the service that this daemon knows of. */
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
		| {readonly type: 'gossip'; readonly members: readonly Member[]; readonly config: readonly ConfigObject[]}
		| {
			readonly type: 'sync';
			/** Whether the receiver is to answer with its own versions. */
			readonly reply: boolean;
			readonly members: readonly VersionEntry[];
			readonly config: readonly VersionEntry[];
		};
