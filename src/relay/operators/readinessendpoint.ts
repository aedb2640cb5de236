import {HttpEndpoint} from './httpendpoint.js';

/** Answers readiness checks: 200 while this daemon accepts requests, 503 otherwise, 404 on other paths. */
export class ReadinessEndpoint extends HttpEndpoint {
	constructor(path: string, isReady: () => boolean) {
		super((request, response) => {
			const status = request.url === path ? (isReady() ? 200 : 503) : 404;
			response.writeHead(status, {'content-length': '0'});
			response.end();
		});
	}
}
