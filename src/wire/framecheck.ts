type Fields = Record<string, unknown>;
type Predicate = (value: unknown) => boolean;

// Limits on the values in a frame: items of a list, characters of a text, size of a number.
const MAX_LIST_LENGTH = 5000;
const MAX_TEXT_LENGTH = 512;
const MAX_NUMBER = 2 ** 60;

const isText: Predicate = value => typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
const isNumber: Predicate = value => typeof value === 'number' && value >= 0 && value <= MAX_NUMBER;
const isBoolean: Predicate = value => typeof value === 'boolean';
const isList = (check: Predicate): Predicate => value => Array.isArray(value) && value.length <= MAX_LIST_LENGTH && value.every(item => check(item));
const isOptional = (check: Predicate): Predicate => value => value === undefined || value === null || check(value);
const isOneOf = (...allowed: string[]): Predicate => value => typeof value === 'string' && allowed.includes(value);
const isObjectWith = (checks: Record<string, Predicate>): Predicate => {
	const entries = Object.entries(checks);
	return value => typeof value === 'object' && value !== null && entries.every(([field, check]) => check((value as Fields)[field]));
};

const isVersion: Predicate = value => Array.isArray(value) && value.length === 2 && isText(value[0]) && isNumber(value[1]);
const isFencingToken = isObjectWith({attempt: isNumber, tie: isText});
const isLoad = isObjectWith({outstanding: isNumber, limit: isNumber});
const isFloorReports = isList(isObjectWith({
	service: isText, upstream: isText, floor: isNumber, ageMs: isNumber,
}));
const isBody: Predicate = value => value instanceof Uint8Array;
const isMessage = isObjectWith({headers: isList(value => typeof value === 'string'), body: isBody});
const isAnswer = isObjectWith({
	outcome: isOneOf('complete', 'not-run', 'unknown'),
	reason: isOptional(isText),
	payload: isOptional(isMessage),
	retryAfterMs: isOptional(isNumber),
});
const isFenceReply = isObjectWith({
	verdict: isOneOf('fenced', 'running', 'superseded', 'unvouched', 'full', 'done'),
	answer: isOptional(isAnswer),
});
const isMember = isObjectWith({
	id: isText,
	address: isText,
	region: isText,
	failureDomain: isText,
	incarnation: isNumber,
	status: isOneOf('alive', 'suspect', 'leaving', 'left', 'dead'),
	service: isOptional(isText),
	slots: isNumber,
	connections: isNumber,
});
const isConfigObject = isObjectWith({name: isText, generation: isNumber, operationId: isText});
const isHeldRequest = isObjectWith({
	route: isText, method: isText, path: isText, caller: isText, attemptId: isText,
});
const isCall = isObjectWith({
	service: isText,
	operation: isText,
	className: isText,
	level: isNumber,
	floor: isNumber,
	root: isText,
	idempotent: isBoolean,
	budgetMs: value => typeof value === 'number' && value <= MAX_NUMBER,
	tokens: isNumber,
	key: isOptional(isText),
	ballot: isOptional(isFencingToken),
	keepMs: isOptional(isNumber),
	payload: isMessage,
});

const FIELD_CHECKS_BY_FRAME_TYPE: Record<string, Record<string, Predicate>> = {
	call: {id: isNumber, call: isCall},
	answer: {
		id: isNumber, answer: isAnswer, tokens: isNumber, load: isLoad, pressure: isFloorReports,
	},
	cancel: {id: isNumber},
	fence: {
		id: isNumber, key: isText, ballot: isFencingToken, madeAfterMs: value => typeof value === 'number', keepMs: isNumber,
	},
	vouch: {id: isNumber, vouch: isFenceReply, upstreams: isList(isMember)},
	heartbeat: {
		answered: isBoolean, members: value => typeof value === 'number', config: value => typeof value === 'number', load: isLoad, pressure: isFloorReports,
	},
	quarantine: {
		crashes: isList(isObjectWith({
			id: isNumber, service: isText, start: isText, ageMs: isNumber, requests: isList(isText), suspect: isOptional(isText), chance: isNumber,
		})),
		survivals: isList(isObjectWith({request: isText, crashes: isList(isNumber)})),
		holds: isList(isObjectWith({
			request: isText, generation: isNumber, isHeld: isBoolean, strikes: isNumber, leftMs: isNumber, subject: isHeldRequest,
		})),
	},
	gossip: {members: isList(isMember), config: isList(isConfigObject)},
	sync: {reply: isBoolean, members: isList(isVersion), config: isList(isVersion)},
};

/** Returns an error message that names the first invalid field of a decoded frame, or undefined if the frame is valid. */
export function findFrameFault(value: unknown): string | undefined {
	if (typeof value !== 'object' || value === null) {
		return 'frame: must be an object';
	}

	const {type} = value as Fields;
	const checks = typeof type === 'string' && Object.hasOwn(FIELD_CHECKS_BY_FRAME_TYPE, type) ? FIELD_CHECKS_BY_FRAME_TYPE[type] : undefined;
	if (checks === undefined) {
		return 'type: unknown frame type';
	}

	for (const field of Object.keys(checks)) {
		if (!checks[field]((value as Fields)[field])) {
			return `${type as string}.${field}: missing, wrong type or out of range`;
		}
	}

	return undefined;
}
