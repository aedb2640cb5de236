/** What the status of a head makes of it: an interim one comes before the answer, and an invalid one is no answer. */
export type StatusKind = 'interim' | 'final' | 'invalid';

/** Limits the interim answers (1xx) before an answer. */
const MAX_INTERIM_ANSWERS = 32;
const SWITCHING_PROTOCOLS = 101;

/** Checks the statuses of the heads that arrive for one request. */
export class StatusCheck {
	#interimAnswers = 0;

	/** Classifies a status (RFC 9110, 15). Nothing here asks for another protocol, so no answer switches to one; too many interim answers are invalid. */
	kindOf(status: number): StatusKind {
		if (status < 100 || status > 599 || status === SWITCHING_PROTOCOLS) {
			return 'invalid';
		}

		if (status >= 200) {
			return 'final';
		}

		this.#interimAnswers++;
		return this.#interimAnswers > MAX_INTERIM_ANSWERS ? 'invalid' : 'interim';
	}
}
