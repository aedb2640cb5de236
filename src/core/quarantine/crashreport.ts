/** A crash of a target, as its daemon tells the others. Requests are named by their fingerprints. */
export type CrashReport = {
	/** Chosen at random by the daemon beside the target. */
	readonly id: number;
	readonly service: string;
	/** The start of the target that crashed, as `startOf` names it. */
	readonly start: string;
	/** How long ago the target crashed, in ms. */
	readonly ageMs: number;
	/** The requests that the target was running. */
	readonly requests: readonly string[];
	/** The only suspect among them; undefined if there was none, or more than one. */
	readonly suspect?: string | undefined;
	/** The chance that the target would have crashed without the suspect; 1 without one. */
	readonly chance: number;
};

/** Names one start of a target: some start again under the id that they had. */
export function startOf({id, bornMs}: {readonly id: string; readonly bornMs?: number | undefined}): string {
	return `${id}@${bornMs ?? 0}`;
}

/** A request that a target has answered after it was in flight at crashes: it had no part in these. */
export type Survival = {readonly request: string; readonly crashes: readonly number[]};

/** What was in flight at a crash, as far as it counts for the proof. */
export type CrashScene = {
	/** How long the suspect had run, in ms. */
	readonly ranMs: number;
	/** The number of other requests that were running. */
	readonly others: number;
	/** How often the targets of the service crash, for each target and ms. */
	readonly crashesPerMs: number;
	/** The share of the target's runs that are lost without the suspect, where single lost connections can look like crashes. */
	readonly lostShare?: number;
};

/** The chance that an ordinary request is one that crashes targets. */
const CHANCE_PER_OTHER_RUN = 0.0001;

/** The chance that a target would have crashed without the suspect: by itself while that ran, or by another request. */
export function chanceWithout({ranMs, others, crashesPerMs, lostShare = 0}: CrashScene): number {
	return Math.min(1, Math.max(lostShare, (ranMs * crashesPerMs) + (others * CHANCE_PER_OTHER_RUN)));
}
