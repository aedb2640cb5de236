export {PlatformClient, type StoredObject} from './platformclient.js';
export {PlatformError} from './error.js';
export {
	CONFIG_PREFIX, ConfigWriter, ConflictError, type WriteResult,
} from './configwriter.js';
