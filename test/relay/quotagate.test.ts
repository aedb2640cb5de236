import {expect, it} from 'vitest';
import {ManualClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {type Admission, BudgetSharing} from '../../src/mesh/index.js';
import {QuotaGate} from '../../src/relay/clients/quotagate.js';

const ignore = () => undefined;

/** Refuses all, and says that a token comes in 60 ms. */
class Refusing extends BudgetSharing {
	fraction = 0.2;

	override trySpend(): Admission {
		return {isAdmitted: false, retryAfterMs: 60, fraction: this.fraction};
	}
}

it('a client of an organisation of whose requests fewer than half are admitted is told to come back as late as it may, and before a third of its time', () => {
	const sharing = new Refusing({
		host: 'h', room: {windowMs: 5000, over: 0, slack: 0}, random: Math.random, onLow: ignore,
	});
	const clock = new ManualClock(0);
	const log = new EventLog(new Logger('h', 'info', ignore), clock);
	const gate = new QuotaGate({
		sharing, clock, log, random: Math.random,
	});
	gate.setLimits(new Map([['acme', {ratePerS: 1, burst: 1}]]));
	const told = (leftMs: number) => {
		const decision = gate.tryAdmit('acme', 0, leftMs);
		return decision?.isAdmitted === false ? decision.retryAfterMs : 0;
	};

	for (const leftMs of [1500, 5000]) {
		expect(told(leftMs)).toBeGreaterThan(leftMs * 0.2);
		expect(told(leftMs)).toBeLessThan(leftMs / 3);
	}

	expect(told(Number.POSITIVE_INFINITY)).toBe(5000);
	sharing.fraction = 0.6;
	expect(told(5000)).toBe(60);
});
