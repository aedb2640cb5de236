/** The parts of undici that the daemon uses on the users' platform. Its index loads a fetch, mocks, caches and proxies besides. */
'use strict';

const api = require('undici/lib/api/index.js');
const errors = require('undici/lib/core/errors.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {errors, Client, Pool};
