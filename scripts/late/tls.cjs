/** `node:tls` as the daemon's libraries use it, loaded at its first use: a snapshot can't hold it. */
'use strict';

module.exports = {
	get connect() {
		return require('node:tls').connect;
	},
};
