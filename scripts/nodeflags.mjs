/** The flags with which the deploy file starts the daemon. Its snapshot is only valid for them. */
import {readFileSync} from 'node:fs';

export const deployNodeFlags = /^run = "node (?<flags>[^"]+) --snapshot-blob /mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.flags.split(' ');
