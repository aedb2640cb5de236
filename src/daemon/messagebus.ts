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

	get inputs(): Stream<Input> {
		return fromEvent('input', this.#inputs) as unknown as Stream<Input>;
	}

	send(input: Input): void {
		this.#inputs.emit('input', input);
	}

	outputs<T extends Output['type']>(type: T): Stream<OutputOf<T>> {
		return fromEvent(type, this.#outputs) as unknown as Stream<OutputOf<T>>;
	}

	publish(output: Output): void {
		this.#outputs.emit(output.type, output);
	}
}
