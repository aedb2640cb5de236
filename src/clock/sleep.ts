/** Waits on the global timers, which the fake timers of a test replace; the promised timers of Node would wait in real time there. */
export async function sleep(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}
