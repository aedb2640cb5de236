import {type IdentifiedRequest, RequestIdentity} from '../core/index.js';
import {type HttpMessage, digestRequest} from '../wire/index.js';

/** The most of a body that identifies its request, in bytes. */
const MAX_BODY_BYTES = 65_536;

/** Identifies HTTP requests by service, method, path and body. */
export class HttpIdentity extends RequestIdentity {
	override fingerprintOf(request: IdentifiedRequest): string {
		const {method, path} = this.describe(request);
		return digestRequest([request.service, method, path], messageOf(request).body.subarray(0, MAX_BODY_BYTES));
	}

	override describe(request: IdentifiedRequest): {readonly method: string; readonly path: string} {
		const {method = 'GET', path = '/'} = messageOf(request);
		return {method, path};
	}

	override sizeOf(request: IdentifiedRequest): number {
		return messageOf(request).body.length;
	}
}

function messageOf({payload}: IdentifiedRequest): HttpMessage {
	return payload as HttpMessage;
}
