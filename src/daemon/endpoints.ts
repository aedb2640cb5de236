import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {z} from 'zod';
import {ConfigError, parseWithSchema} from '../config/index.js';
import {type Explanation, type ExplainQuery, type DaemonStatus} from '../core/index.js';
import {header} from '../wire/index.js';
import {type MessageBus} from './messagebus.js';

const announcementSchema = z.strictObject({
	service: z.string().regex(/^[a-z][\w\-]{0,99}$/iv),
	port: z.int().min(1).max(65_535),
	slots: z.int().min(1).max(100_000),
	connections: z.int().min(1).max(100_000),
	cold: z.boolean().default(false),
});

/** What the endpoints work with. */
export type EndpointParts = {
	readonly bus: MessageBus;
	/** The address of this daemon's host; a target announces itself from there only. */
	readonly host: string;
	readonly status: () => DaemonStatus;
	readonly explain: (question: ExplainQuery) => Explanation;
	readonly onTargetAnnounced: (origin: string, connections: number) => void;
};

/** Answers the daemon's own paths: a target's announcements and operators' questions. */
export class Endpoints {
	readonly #parts: EndpointParts;

	constructor(parts: EndpointParts) {
		this.#parts = parts;
	}

	handle(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		const path = request.url?.split('?')[0];
		const route = `${request.method} ${path}`;
		if (path === header.TARGET_PATH && request.socket.remoteAddress !== this.#parts.host) {
			reply(response, 403, {detail: 'a target announces itself to the daemon of its own host only'});
			return;
		}

		switch (route) {
			case `PUT ${header.TARGET_PATH}`: {
				this.#announce(body, response);
				break;
			}

			case `DELETE ${header.TARGET_PATH}`: {
				this.#parts.bus.send({type: 'withdraw'});
				reply(response, 200, {});
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}status`: {
				reply(response, 200, this.#parts.status());
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}health`: {
				const {isReady, isDraining} = this.#parts.status();
				reply(response, isReady && !isDraining ? 200 : 503, {isReady, isDraining});
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}explain`: {
				this.#explain(new URL(request.url!, 'http://daemon'), response);
				break;
			}

			default: {
				reply(response, 404, {detail: `no ${route}`});
			}
		}
	}

	#explain({searchParams}: URL, response: ServerResponse): void {
		const service = searchParams.get('service');
		if (service === null) {
			reply(response, 400, {detail: 'service: is missing'});
			return;
		}

		reply(response, 200, this.#parts.explain({
			service,
			method: searchParams.get('method') ?? 'GET',
			path: searchParams.get('path') ?? '/',
			key: searchParams.get('key') ?? undefined,
		}));
	}

	#announce(body: Buffer, response: ServerResponse): void {
		try {
			const {port, ...announcement} = parseWithSchema(announcementSchema, JSON.parse(body.toString()));
			const {bus, host, onTargetAnnounced: onTarget} = this.#parts;
			onTarget(`http://${host}:${port}`, announcement.connections);
			bus.send({type: 'announce', announcement});
			reply(response, 200, {});
		} catch (error) {
			const detail = error instanceof ConfigError ? error.message : 'body: not JSON';
			reply(response, 400, {detail});
		}
	}
}

function reply(response: ServerResponse, status: number, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': status < 400 ? 'application/json' : 'application/problem+json'});
	response.end(body);
}
