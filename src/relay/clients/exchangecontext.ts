import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {type Quarantine} from '../../core/index.js';
import {type AttemptsParts, type HostEntry, type LoadShedder} from '../../mesh/index.js';
import {
	type Call, type CallHandle, type CallSink,
} from '../call.js';
import {type Exchange} from './exchange.js';
import {type HeldRequests} from './heldrequests.js';
import {type RefusalCounts} from './refusalcounts.js';
import {type ResponseWriterContext} from './responsewriter.js';

/** What an exchange needs of its request server. */
export type ExchangeContext = ResponseWriterContext & AttemptsParts & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly loadShedder: LoadShedder;
	readonly refusalCounts: RefusalCounts;
	readonly quarantine: Quarantine;
	/** Holds requests that wait for the end of a fault; absent unless the settings allow it memory. */
	readonly heldRequests?: HeldRequests | undefined;
	readonly random: () => number;
	readonly send: (entry: HostEntry, call: Call, sink: CallSink) => CallHandle;
	/** When the objective of the root request that a running call is made for ends, in ms, by the call's attempt id. */
	readonly findObjectiveEndMs: (attemptId: string) => number | undefined;
	/** Defers the start of a request while an answer before its own may break off, and end the connection with it. @returns whether it does */
	readonly tryDefer: (exchange: Exchange, start: () => void) => boolean;
	/** Whether the process lasts until then, so that a request with this deadline isn't cut off. */
	readonly lastsUntil: (deadlineMs: number) => boolean;
	readonly onEnded: (exchange: Exchange) => void;
	/** Called with the attempt id of the parent call when a nested call begins or ends. */
	readonly onNestedCall: (attemptId: string, change: 'begun' | 'ended') => void;
	/** Called with the attempt id of the parent call when a nested call fails. */
	readonly onNestedFailure: (attemptId: string) => void;
};
