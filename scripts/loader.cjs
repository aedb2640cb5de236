/**
 * Starts the bundled daemon from the cache of its compiled code, so that a
 * start doesn't compile it. With `--write-cache` it runs the daemon for a
 * moment, with the settings of the environment, and writes that cache; without
 * a valid cache it compiles the bundle.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

/** How long the daemon runs before the functions that it has compiled are written, in ms. */
const WARM_UP_MS = 1500;

const file = path.join(__dirname, 'daemon.cjs');
const cacheFile = path.join(__dirname, 'daemon.cache');
const isWriting = process.argv.includes('--write-cache');
const cachedData = !isWriting && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(file, 'utf8')), {filename: file, cachedData});
const daemon = {exports: {}};
script.runInThisContext()(daemon.exports, require, daemon, file, __dirname);
daemon.exports.runDaemon();
if (isWriting) {
	setTimeout(() => {
		writeFileSync(cacheFile, script.createCachedData());
		// eslint-disable-next-line unicorn/no-process-exit -- the daemon would keep the process running
		process.exit(0);
	}, WARM_UP_MS);
}
