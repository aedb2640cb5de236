import process from 'node:process';
import {serveEcho} from './echo.js';
import {PlatformStandIn} from './platform.js';
import {type TargetOptions, TargetStandIn} from './target.js';

const [role, text] = process.argv.slice(2);
const options = JSON.parse(text) as Record<string, unknown>;

switch (role) {
	case 'platform': {
		const platform = new PlatformStandIn();
		await platform.listen(String(options.host), Number(options.port));
		break;
	}

	case 'target': {
		const target = new TargetStandIn(options as TargetOptions);
		await target.start();
		process.on('SIGTERM', () => {
			target.close();
			process.exit(0);
		});
		break;
	}

	case 'echo': {
		await serveEcho(options as {host: string; port: number});
		break;
	}

	default: {
		throw new Error(`role: expected platform, target or echo, found "${role}"`);
	}
}
