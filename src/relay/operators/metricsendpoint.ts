import {type MetricsRegistry} from '../../log/index.js';
import {HttpEndpoint} from './httpendpoint.js';

/** Serves the metrics in the Prometheus text format. */
export class MetricsEndpoint extends HttpEndpoint {
	constructor(registry: MetricsRegistry) {
		super((_request, response) => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(registry.formatPrometheus());
		});
	}
}
