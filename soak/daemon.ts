/** The daemon as a process of the soak: with the stand-ins' names and formats, and a store that it reaches over HTTP. It starts from a snapshot, as the platform's does. */
import process from 'node:process';
import {startupSnapshot} from 'node:v8';
import {PlatformStore} from '../platform/store.js';
import {type DaemonSettings, runRelay} from '../src/relay/index.js';
import {MeshAdapter} from '../standins/meshadapter.js';

startupSnapshot.setDeserializeMainFunction(() => {
	void runRelay({
		settingsPath: process.env.COMFREYDYKE_SETTINGS!,
		decodeSettings: text => JSON.parse(text) as DaemonSettings,
		createAdapter: storeAddress => new MeshAdapter(new PlatformStore(storeAddress)),
	});
});
