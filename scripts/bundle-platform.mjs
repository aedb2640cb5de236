/** Bundles the daemon for the users' platform into `target/`. */
import {bundle} from './bundle.mjs';

await bundle('platform/main.ts', 'target/comfreydyke.mjs');
