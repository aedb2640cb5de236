import {type MetricsRegistry} from '../../log/index.js';
import {HttpEndpoint} from './httpendpoint.js';
import {type RelayReporter} from './relayreport.js';

/** The path of the status. */
export const STATUS_PATH = '/_comfreydyke/status';
/** The path that explains an organisation; the query `hash` has the beginning of the SHA-256 of its name or of a key. */
export const ORGANISATION_PATH = '/_comfreydyke/organisation';

/** Serves the metrics in the Prometheus text format, and the reports for operators as JSON. */
export class MetricsEndpoint extends HttpEndpoint {
	constructor(registry: MetricsRegistry, reporter: RelayReporter) {
		super((request, response) => {
			const [path, query] = (request.url ?? '').split('?');
			const report = path === STATUS_PATH ? reporter.status() : (path === ORGANISATION_PATH ? reporter.explain(new URLSearchParams(query).get('hash') ?? '') : undefined);
			if (report === undefined) {
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
				response.end(registry.formatPrometheus());
			} else {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify(report));
			}
		});
	}
}
