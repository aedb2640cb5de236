/** `node:https` as the daemon's libraries use it, loaded at its first use: a snapshot can't hold it. */
'use strict';

module.exports = {
	get get() {
		return require('node:https').get;
	},
	get request() {
		return require('node:https').request;
	},
};
