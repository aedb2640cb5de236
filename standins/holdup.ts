/**
 * Holds this process up, as if its machine were suspended or its processors taken.
 * @param timeMs for how long, in ms
 */
export function holdUp(timeMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, timeMs);
}
