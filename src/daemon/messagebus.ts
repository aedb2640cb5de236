import {EventEmitter} from 'node:events';
import {type Stream, fromEvent} from 'most';
import {type Input, type Output} from '../core/index.js';

type Of<T extends Output['type']> = Extract<Output, {type: T}>;

/**
 * Carries messages between the core and the tasks around it: inputs to the
 * core, and each kind of output to the task that owns what it needs.
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

	outputs<T extends Output['type']>(type: T): Stream<Of<T>> {
		return fromEvent(type, this.#outputs) as unknown as Stream<Of<T>>;
	}

	publish(output: Output): void {
		this.#outputs.emit(output.type, output);
	}
}
