import {type Registry} from '../log/index.js';
import {Page} from './page.js';

/** Serves the registry as text. */
export class MetricsPage extends Page {
	constructor(registry: Registry) {
		super((_request, response) => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(registry.text());
		});
	}
}
