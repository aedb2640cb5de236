/** The flags with which the deploy file starts the daemon. The cache of its compiled code is only valid for them. */
import {readFileSync} from 'node:fs';

export const deployNodeFlags = /^run = "node (?<flags>[^"]+) target\//mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.flags.split(' ');
