import {ConfigError} from '../config/index.js';
import {ConflictError, PlatformError} from '../platform/index.js';

/** Exit code: the input is invalid, or the command failed for a reason that has no code of its own. */
export const EXIT_FAILURE = 1;
/** Exit code: the command line is invalid, or the answers given to the questionnaire are. */
export const EXIT_USAGE = 2;
/** Exit code: another writer has changed the object since it was read. */
export const EXIT_CONFLICT = 3;
/** Exit code: the platform or a daemon is unreachable, or its response is an error. */
export const EXIT_UNAVAILABLE = 4;

/** The command line, or the input to the questionnaire, is invalid. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

/** Prints the message of an error to standard error and returns the exit code. */
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
