export {
	ANSWER_RANGES, type Answers, REQUEST_KINDS, IMPORTANCE_LEVELS, answersSchema,
} from './answers.js';
export {
	ConfigError, type ConfigFault, findClosestMatch, parseConfiguration, parseSettings, parseWithSchema,
} from './parse.js';
export {generateConfiguration, parseAnswers} from './generate.js';
export {
	type Configuration, configObjectSchema, configurationSchema, joinRecordSchema, serviceSchema, siteSchema,
} from './schema.js';
export {type Settings, settingsSchema} from './settings.js';
