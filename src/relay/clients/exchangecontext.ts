import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type AttemptsParts, type HostEntry, type LoadShedder, type Route,
} from '../../mesh/index.js';
import {
	type Call, type CallHandle, type CallSink, type CallTemplate,
} from '../call.js';
import {type Exchange} from './exchange.js';
import {type ResponseWriterContext} from './responsewriter.js';

/** What an exchange needs of its request server. */
export type ExchangeContext = ResponseWriterContext & AttemptsParts & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly loadShedder: LoadShedder;
	readonly random: () => number;
	readonly send: (entry: HostEntry, call: Call, sink: CallSink) => CallHandle;
	/** When the objective of the root request that a running call is made for ends, in ms, by the call's attempt id. */
	readonly findObjectiveEndMs: (attemptId: string) => number | undefined;
	readonly onEnded: (exchange: Exchange) => void;
	/** Called with the attempt id of the parent call when a nested call begins or ends. */
	readonly onNestedCall: (attemptId: string, change: 'begun' | 'ended') => void;
	/** Called with the attempt id of the parent call when a nested call fails. */
	readonly onNestedFailure: (attemptId: string) => void;
};

/** The properties of a request that its exchange is created with. */
export type ExchangeOptions = {
	readonly route: Route;
	/** The name of the organisation that it belongs to. */
	readonly organisation: string | undefined;
	/** The service that was chosen among those of the route. */
	readonly service: string;
	readonly attemptId: string;
	/** How long the client waits, in ms. */
	readonly leftMs: number;
	readonly template: CallTemplate;
	/** The call running on this host that waits for this request; undefined for a root request. */
	readonly parentCall: Call | undefined;
};
