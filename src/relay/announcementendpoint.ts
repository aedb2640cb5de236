import {Buffer} from 'node:buffer';
import {type EventLog} from '../log/index.js';
import {type Adapter, type TargetMessage} from './adapter.js';
import {DecodeError} from './error.js';
import {HttpEndpoint} from './httpendpoint.js';

/** A target's message is a few hundred bytes; more than this, in bytes, isn't one. */
const MAX_BODY_BYTES = 65_536;

/** Takes what the target beside this daemon says of itself, and acknowledges it. */
export class AnnouncementEndpoint extends HttpEndpoint {
	/** @param onMessage takes a message in; once it returns, the message counts as acknowledged */
	constructor(adapter: Adapter, log: EventLog, onMessage: (message: TargetMessage) => void) {
		super((request, response) => {
			const chunks: Buffer[] = [];
			let length = 0;
			request.on('data', (chunk: Buffer) => {
				length += chunk.length;
				if (length <= MAX_BODY_BYTES) {
					chunks.push(chunk);
				}
			});
			request.on('end', () => {
				let status = 200;
				let body = '{}';
				try {
					if (length > MAX_BODY_BYTES) {
						throw new DecodeError(`body: over ${MAX_BODY_BYTES} bytes`);
					}

					onMessage(adapter.decodeTargetMessage(request.method!, request.url!, Buffer.concat(chunks).toString()));
				} catch (error) {
					const {message} = error as Error;
					log.registry.count('bad_input', {address: 'announcements'});
					log.warn('announcement_rejected', {reason: message, path: request.url!.slice(0, 100)});
					status = 400;
					body = JSON.stringify({error: message});
				}

				response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
				response.end(body);
			});
		});
	}
}
