export {type RetryBudgetOptions, RetryBudget} from './retrybudget.js';
export {
	type TimeLimits, Attempts, type AttemptsParts, type HostRefusal,
} from './attempts.js';
