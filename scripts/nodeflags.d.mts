/** The flags with which the deploy file starts the daemon. */
export const deployNodeFlags: readonly string[];
