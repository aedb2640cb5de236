/** How long a watch for hosts waits on average, in ms; a change is told by the daemon that makes it. */
const HOST_WATCH_MS = 10_000;
/** The pause of a watch for hosts after changes, for each known host, and its upper limit, in ms: a large fleet has more changes. */
const PAUSE_PER_HOST_MS = 20;
const MAX_HOST_PAUSE_MS = 1000;

/** The pause of a watch for configurations after changes, in ms. */
export const SITE_PAUSE_MS = 20;

/** How long the next watch for hosts waits, in ms. @param random between 0 and 1 */
export function hostWatchMs(random: number): number {
	return HOST_WATCH_MS * (0.5 + random);
}

/** How long a watch for hosts pauses after changes, in ms, while it knows this many hosts. */
export function hostPauseMs(hostCount: number): number {
	return Math.min(PAUSE_PER_HOST_MS * hostCount, MAX_HOST_PAUSE_MS);
}
