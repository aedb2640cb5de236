import * as z from 'zod';

/** Limits a start time in ms since 1970: beyond it lies no clock, and a start there would pass for newer than all true ones. */
const MAX_START_MS = 2 ** 43;
/** Limits the slots of a target; more would attract all calls to it. */
const MAX_SLOTS = 100_000;

/** The schema of the time at which a target started, in ms since 1970. */
export const startSchema = z.int().min(0).max(MAX_START_MS);

/** The schema of the number of calls that a target runs at once. */
export const slotsSchema = z.int().min(1).max(MAX_SLOTS);
