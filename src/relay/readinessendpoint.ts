import {HttpEndpoint} from './httpendpoint.js';

/** Answers whether this daemon takes requests. */
export class ReadinessEndpoint extends HttpEndpoint {
	constructor(path: string, isReady: () => boolean) {
		super((request, response) => {
			const status = request.url === path ? (isReady() ? 200 : 503) : 404;
			response.writeHead(status, {'content-length': '0'});
			response.end();
		});
	}
}
