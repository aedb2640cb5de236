/** The daemon as a process of the soak: the program of the platform, with the stand-ins' names and formats and a store that it reaches over HTTP. */
import {runDaemon} from '../platform/main.js';
import {PlatformStore} from '../platform/store.js';
import {type RelaySettings} from '../src/relay/index.js';
import {MeshAdapter} from '../standins/meshadapter.js';

type DaemonSettings = {readonly relay: RelaySettings; readonly storeAddress: string};

await runDaemon(text => JSON.parse(text) as DaemonSettings, storeAddress => new MeshAdapter(new PlatformStore(storeAddress)));
