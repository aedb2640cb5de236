import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Serves a target for benchmarks. Each answer has a body of `size` bytes (query parameter) and is delayed by `waitMs`, if that is set. */
export async function serveEcho({host, port}: {host: string; port: number}): Promise<void> {
	const bodies = new Map<number, Buffer>();
	const server = http.createServer({noDelay: true, keepAliveTimeout: 65_000}, (request, response) => {
		const query = new URLSearchParams(request.url?.split('?')[1]);
		const size = Number(query.get('size') ?? 200);
		const body = bodies.get(size) ?? Buffer.alloc(size, 'x');
		bodies.set(size, body);
		request.resume();
		const answer = () => {
			response.writeHead(200, {'content-type': 'text/plain', 'content-length': size});
			response.end(body);
		};

		const waitMs = Number(query.get('waitMs') ?? 0);
		if (waitMs > 0) {
			setTimeout(answer, waitMs);
		} else {
			answer();
		}
	});
	await new Promise<void>(resolve => {
		server.listen(port, host, resolve);
	});
}
