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

/** What the endpoints need from the daemon. */
export type EndpointParts = {
	readonly bus: MessageBus;
	/** The address of this daemon's host. Announcements from any other address are refused. */
	readonly host: string;
	readonly status: () => DaemonStatus;
	readonly explain: (question: ExplainQuery) => Explanation;
	readonly onTargetAnnounced: (origin: string, connections: number) => void;
};

/** Serves the daemon's own HTTP endpoints: announcements by the target, and status, health and explain for operators. */
export class Endpoints {
	readonly #parts: EndpointParts;

	constructor(parts: EndpointParts) {
		this.#parts = parts;
	}

	handle(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		const path = request.url?.split('?')[0];
		const route = `${request.method} ${path}`;
		if (path === header.TARGET_PATH && request.socket.remoteAddress !== this.#parts.host) {
			sendJson(response, 403, {detail: 'announcements are accepted only from the host of this daemon'});
			return;
		}

		switch (route) {
			case `PUT ${header.TARGET_PATH}`: {
				this.#acceptAnnouncement(body, response);
				break;
			}

			case `DELETE ${header.TARGET_PATH}`: {
				this.#parts.bus.send({type: 'withdraw'});
				sendJson(response, 200, {});
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}status`: {
				sendJson(response, 200, this.#parts.status());
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}health`: {
				const {isReady, isDraining} = this.#parts.status();
				sendJson(response, isReady && !isDraining ? 200 : 503, {isReady, isDraining});
				break;
			}

			case `GET ${header.OWN_PATH_PREFIX}explain`: {
				this.#sendExplanation(new URL(request.url!, 'http://daemon'), response);
				break;
			}

			default: {
				sendJson(response, 404, {detail: `no endpoint for ${route}`});
			}
		}
	}

	#sendExplanation({searchParams}: URL, response: ServerResponse): void {
		const service = searchParams.get('service');
		if (service === null) {
			sendJson(response, 400, {detail: 'service: query parameter is missing'});
			return;
		}

		sendJson(response, 200, this.#parts.explain({
			service,
			method: searchParams.get('method') ?? 'GET',
			path: searchParams.get('path') ?? '/',
			key: searchParams.get('key') ?? undefined,
		}));
	}

	#acceptAnnouncement(body: Buffer, response: ServerResponse): void {
		try {
			const {port, ...announcement} = parseWithSchema(announcementSchema, JSON.parse(body.toString()));
			const {bus, host, onTargetAnnounced: onTarget} = this.#parts;
			onTarget(`http://${host}:${port}`, announcement.connections);
			bus.send({type: 'announce', announcement});
			sendJson(response, 200, {});
		} catch (error) {
			const detail = error instanceof ConfigError ? error.message : 'body: must be JSON';
			sendJson(response, 400, {detail});
		}
	}
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': status < 400 ? 'application/json' : 'application/problem+json'});
	response.end(body);
}
