/** `node:http` as the daemon uses it, loaded at its first use: a snapshot can't hold it. */
'use strict';

const load = () => require('node:http');

module.exports = {
	/** The default of `node`, as no flag changes it. */
	maxHeaderSize: 16_384,
	/** The right side of `instanceof` only. */
	IncomingMessage: {
		[Symbol.hasInstance](value) {
			return value instanceof load().IncomingMessage;
		},
	},
	get STATUS_CODES() {
		return load().STATUS_CODES;
	},
	get createServer() {
		return load().createServer;
	},
	get get() {
		return load().get;
	},
	get request() {
		return load().request;
	},
};
