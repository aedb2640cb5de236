export {BodyCollector} from './bodycollector.js';
export {
	FrameError, decodeFrame, encodeFrame, MAX_FRAME_BYTES, pack, unpack,
} from './codec.js';
export {
	type HttpMessage, HOP_BY_HOP_HEADERS, endsInChunked, filterForwardableHeaders,
} from './http.js';
export {HandshakeError, Handshake} from './handshake.js';
export {type OrderlyConnectorOptions, createOrderlyConnector} from './orderlyconnector.js';
export {endsInStatusLine} from './mergedhead.js';
export {type ListenPatience, listen} from './listen.js';
export {LINGER_MS, closeWhenIdle} from './lingeringclose.js';
export {type ClientErrorOutcome, type OnClientError, ServerConnection} from './serverconnection.js';
export {FINGERPRINT_BYTES, digestRequest} from './requestdigest.js';
export {type StatusKind, StatusCheck} from './statuscheck.js';
export {stopListening} from './stoplistening.js';
export * as header from './header.js';
