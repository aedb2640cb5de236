import {type IncomingMessage} from 'node:http';
import {type MetricsRegistry} from '../../log/index.js';
import {HttpEndpoint} from './httpendpoint.js';
import {type QuarantineReporter} from './quarantinereport.js';
import {type RelayReporter} from './relayreport.js';

/** The path of the status. */
export const STATUS_PATH = '/_comfreydyke/status';
/** The path that explains an organisation; the query `hash` has the beginning of the SHA-256 of its name or of a key. */
export const ORGANISATION_PATH = '/_comfreydyke/organisation';
/** The path of what is held back; a DELETE lets the request through whose fingerprint the query `request` has. */
export const QUARANTINE_PATH = '/_comfreydyke/quarantine';

/** Serves the metrics in the Prometheus text format, and the reports for operators as JSON. */
export class MetricsEndpoint extends HttpEndpoint {
	constructor(registry: MetricsRegistry, reporter: RelayReporter, quarantineReporter: QuarantineReporter) {
		super((request, response) => {
			const report = findReport(request, reporter, quarantineReporter);
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

function findReport({url = '', method}: IncomingMessage, reporter: RelayReporter, quarantineReporter: QuarantineReporter): unknown {
	const [path, query] = url.split('?');
	const parameters = new URLSearchParams(query);
	switch (path) {
		case STATUS_PATH: {
			return reporter.status();
		}

		case ORGANISATION_PATH: {
			return reporter.explain(parameters.get('hash') ?? '');
		}

		case QUARANTINE_PATH: {
			return method === 'DELETE' ? quarantineReporter.lift(parameters.get('request') ?? '') : quarantineReporter.report();
		}

		default: {
			return undefined;
		}
	}
}
