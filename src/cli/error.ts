import {ConfigError} from '../config/index.js';
import {ConflictError, PlatformError} from '../platform/index.js';

/** The input was read and found wanting. */
export const EXIT_FAILURE = 1;
/** The command itself was called wrongly. */
export const EXIT_USAGE = 2;
/** Another writer was faster. */
export const EXIT_CONFLICT = 3;
/** The platform or a daemon can't be reached. */
export const EXIT_UNAVAILABLE = 4;

/** A command that was called wrongly. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

/** Prints what went wrong and returns the exit code that fits. */
export function reportError(error: unknown): number {
	console.error(error instanceof Error ? error.message : String(error));
	if (error instanceof ConfigError) {
		return EXIT_FAILURE;
	}

	if (error instanceof ConflictError) {
		return EXIT_CONFLICT;
	}

	if (error instanceof PlatformError) {
		return EXIT_UNAVAILABLE;
	}

	return error instanceof UsageError || (error as Error).name === 'CACError' ? EXIT_USAGE : EXIT_FAILURE;
}
