/** The daemon as a process of the soak: with the stand-ins' names and formats, and a store that it reaches over HTTP. */
import process from 'node:process';
import {PlatformStore} from '../platform/store.js';
import {type DaemonSettings, runRelay} from '../src/relay/index.js';
import {MeshAdapter} from '../standins/meshadapter.js';

await runRelay({
	settingsPath: process.env.COMFREYDYKE_SETTINGS!,
	decodeSettings: text => JSON.parse(text) as DaemonSettings,
	createAdapter: storeAddress => new MeshAdapter(new PlatformStore(storeAddress)),
});
