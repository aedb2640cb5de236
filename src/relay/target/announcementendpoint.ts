import {Buffer} from 'node:buffer';
import {type EventLog} from '../../log/index.js';
import {type Adapter, type TargetMessage} from '../adapter.js';
import {DecodeError} from '../error.js';
import {HttpEndpoint} from '../operators/httpendpoint.js';

/** Limits the body of a message in bytes; valid messages have a few hundred. */
const MAX_BODY_BYTES = 65_536;

/** Receives announcements and deregistrations from the target beside this daemon and acknowledges them. */
export class AnnouncementEndpoint extends HttpEndpoint {
	/** @param onMessage processes a message; the message is acknowledged when its promise resolves and rejected when it rejects */
	constructor(adapter: Adapter, log: EventLog, onMessage: (message: TargetMessage) => Promise<void>) {
		super((request, response) => {
			const chunks: Buffer[] = [];
			let length = 0;
			request.on('data', (chunk: Buffer) => {
				length += chunk.length;
				if (length <= MAX_BODY_BYTES) {
					chunks.push(chunk);
				}
			});
			const answer = async () => {
				let status = 200;
				let body = '{}';
				try {
					if (length > MAX_BODY_BYTES) {
						throw new DecodeError(`body: expected at most ${MAX_BODY_BYTES} bytes`);
					}

					await onMessage(adapter.decodeTargetMessage(request.method!, request.url!, Buffer.concat(chunks).toString()));
				} catch (error) {
					const {message} = error as Error;
					log.registry.count('bad_input', {address: 'announcements'});
					log.warn('announcement_rejected', {reason: message, path: request.url!.slice(0, 100)});
					status = 400;
					body = JSON.stringify({error: message});
				}

				response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
				response.end(body);
			};

			request.on('end', () => {
				void answer();
			});
		});
	}
}
