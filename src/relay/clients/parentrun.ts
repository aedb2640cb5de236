import {type Call} from '../call.js';
import {type ExchangeContext} from './exchangecontext.js';

/** The run on this host that waits for a nested call, as far as that call tells it how it goes. */
export class ParentRun {
	readonly #context: ExchangeContext;
	readonly #call: Call;

	constructor(context: ExchangeContext, call: Call) {
		this.#context = context;
		this.#call = call;
	}

	/** @param callerService the service that makes the call @param reached the services that the call reaches, its own first */
	begin(callerService: string, reached: readonly string[]): void {
		const {attemptId, template: {route}} = this.#call;
		this.#context.onNestedCall(attemptId, 'begun');
		this.#context.loadShedder.onNestedCall(attemptId, {route, service: callerService}, reached);
	}

	end(): void {
		this.#context.onNestedCall(this.#call.attemptId, 'ended');
	}

	fail(): void {
		this.#context.onNestedFailure(this.#call.attemptId);
	}
}
