import {EventEmitter} from 'node:events';
import {type Stream, fromEvent} from 'most';
import {type Input, type Output} from '../core/index.js';

type OutputOf<T extends Output['type']> = Extract<Output, {type: T}>;

/**
 * Carries messages between the core and the I/O tasks around it. Tasks send
 * inputs to the core; each type of output goes to the task that subscribes to it.
 */
export class MessageBus {
	readonly #inputs = new EventEmitter();
	readonly #outputs = new EventEmitter();
	readonly #onError: (error: Error) => void;

	/** @param onError called with an error that the handling of a message didn't expect; later messages are still handled */
	constructor(onError: (error: Error) => void = rethrow) {
		this.#onError = onError;
	}

	send(input: Input): void {
		this.#inputs.emit('input', input);
	}

	handleInputs(handle: (input: Input) => void): void {
		this.#observe(this.#inputs, 'input', handle);
	}

	publish(output: Output): void {
		this.#outputs.emit(output.type, output);
	}

	/** Handles the outputs of one type. */
	handle<T extends Output['type']>(type: T, handle: (output: OutputOf<T>) => void): void {
		this.#observe(this.#outputs, type, handle);
	}

	// An error within `observe` would end the stream, and with it the process.
	#observe<T>(emitter: EventEmitter, event: string, handle: (message: T) => void): void {
		const messages = fromEvent(event, emitter) as unknown as Stream<T>;
		void messages.observe(message => {
			try {
				handle(message);
			} catch (error) {
				this.#onError(error as Error);
			}
		});
	}
}

function rethrow(error: Error): void {
	throw error;
}
