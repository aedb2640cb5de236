/**
 * Starts the bundled daemon from the cache of its compiled code, so that a
 * start doesn't compile it. With `--write-cache` it runs the daemon, with the
 * settings of the environment, until its parent sends it a message, and then
 * writes that cache; without a valid cache it compiles the bundle.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const file = path.join(__dirname, 'daemon.cjs');
const cacheFile = path.join(__dirname, 'daemon.cache');
const isWriting = process.argv.includes('--write-cache');
const cachedData = !isWriting && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(file, 'utf8')), {filename: file, cachedData});
const daemon = {exports: {}};
script.runInThisContext()(daemon.exports, require, daemon, file, __dirname);
daemon.exports.runDaemon();
if (isWriting) {
	process.once('message', () => {
		writeFileSync(cacheFile, script.createCachedData());

		process.exit(0);
	});
}
