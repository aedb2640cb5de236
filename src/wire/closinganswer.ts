import {type ServerResponse} from 'node:http';

/** Decides which answer closes a client's connection: the one to the request that was read last, as pipelined requests are answered in their order. */
export class ClosingAnswer {
	#lastResponse: ServerResponse | undefined;
	#isSettled = false;

	/** Whether an answer closes the connection: what the client sends behind it counts as not read. */
	get isSettled(): boolean {
		return this.#isSettled;
	}

	/** Whether an answer is due on the connection, or not fully written to it. */
	get isAnswering(): boolean {
		return this.#lastResponse?.writableFinished === false;
	}

	/** Whether requests behind the one of this answer have been read. */
	hasFollowers(response: ServerResponse): boolean {
		return response !== this.#lastResponse;
	}

	/** Records that the connection closes without a further answer. */
	settle(): void {
		this.#isSettled = true;
	}

	onRequest(response: ServerResponse): void {
		this.#lastResponse = response;
	}

	/** Closes the connection after this answer. @returns false, without effect, if other answers follow it, or if its head has been written without saying so */
	trySettle(response: ServerResponse): boolean {
		if (this.hasFollowers(response) || response.headersSent) {
			return false;
		}

		this.#isSettled = true;
		response.shouldKeepAlive = false;
		return true;
	}
}
