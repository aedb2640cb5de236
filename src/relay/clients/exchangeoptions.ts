import {type Route} from '../../mesh/index.js';
import {type Call, type CallTemplate} from '../call.js';

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
