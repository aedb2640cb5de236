type Fields = Record<string, unknown>;
type Check = (value: unknown) => boolean;

const MAX_LIST = 5000;
const MAX_TEXT = 512;
const MAX_NUMBER = 2 ** 60;

const isText: Check = value => typeof value === 'string' && value.length <= MAX_TEXT;
const isNumber: Check = value => typeof value === 'number' && value >= 0 && value <= MAX_NUMBER;
const isFlag: Check = value => typeof value === 'boolean';
const isList = (check: Check): Check => value => Array.isArray(value) && value.length <= MAX_LIST && value.every(item => check(item));
const isOptional = (check: Check): Check => value => value === undefined || value === null || check(value);
const isOneOf = (...words: string[]): Check => value => typeof value === 'string' && words.includes(value);
const isFields = (checks: Record<string, Check>): Check => {
	const entries = Object.entries(checks);
	return value => typeof value === 'object' && value !== null && entries.every(([field, check]) => check((value as Fields)[field]));
};

const isVersion: Check = value => Array.isArray(value) && value.length === 2 && isText(value[0]) && isNumber(value[1]);
const isBallot = isFields({attempt: isNumber, tie: isText});
const isLoad = isFields({outstanding: isNumber, limit: isNumber});
const isPressure = isList(isFields({
	service: isText, upstream: isText, floor: isNumber, ageMs: isNumber,
}));
const isBody: Check = value => value instanceof Uint8Array;
const isMessage = isFields({headers: isList(value => typeof value === 'string'), body: isBody});
const isAnswer = isFields({
	outcome: isOneOf('complete', 'not-run', 'unknown'),
	reason: isOptional(isText),
	payload: isOptional(isMessage),
	retryAfterMs: isOptional(isNumber),
});
const isVouch = isFields({
	verdict: isOneOf('fenced', 'running', 'superseded', 'unvouched', 'full', 'done'),
	answer: isOptional(isAnswer),
});
const isMember = isFields({
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
const isConfigObject = isFields({name: isText, generation: isNumber, operationId: isText});
const isCall = isFields({
	service: isText,
	operation: isText,
	className: isText,
	level: isNumber,
	floor: isNumber,
	root: isText,
	idempotent: isFlag,
	budgetMs: value => typeof value === 'number' && value <= MAX_NUMBER,
	tokens: isNumber,
	key: isOptional(isText),
	ballot: isOptional(isBallot),
	keepMs: isOptional(isNumber),
	payload: isMessage,
});

const FRAMES: Record<string, Record<string, Check>> = {
	call: {id: isNumber, call: isCall},
	answer: {
		id: isNumber, answer: isAnswer, tokens: isNumber, load: isLoad, pressure: isPressure,
	},
	cancel: {id: isNumber},
	fence: {
		id: isNumber, key: isText, ballot: isBallot, madeAfterMs: value => typeof value === 'number', keepMs: isNumber,
	},
	vouch: {id: isNumber, vouch: isVouch, upstreams: isList(isMember)},
	heartbeat: {
		answered: isFlag, members: value => typeof value === 'number', config: value => typeof value === 'number', load: isLoad, pressure: isPressure,
	},
	gossip: {members: isList(isMember), config: isList(isConfigObject)},
	sync: {reply: isFlag, members: isList(isVersion), config: isList(isVersion)},
};

/** What is wrong with a decoded frame, naming the field; undefined if nothing is. */
export function findFrameFault(value: unknown): string | undefined {
	if (typeof value !== 'object' || value === null) {
		return 'frame: not an object';
	}

	const {type} = value as Fields;
	const checks = typeof type === 'string' && Object.hasOwn(FRAMES, type) ? FRAMES[type] : undefined;
	if (checks === undefined) {
		return 'type: no such frame';
	}

	for (const field of Object.keys(checks)) {
		if (!checks[field]((value as Fields)[field])) {
			return `${type as string}.${field}: not valid`;
		}
	}

	return undefined;
}
