export {Relay} from './relay.js';
export {type Address, type RelaySettings} from './settings.js';
export {
	Adapter, type ConfigurationPlace, type HeaderNames, type TargetMessage,
} from './adapter.js';
export {decode} from './decode.js';
export {DecodeError, StoreError} from './error.js';
export {
	type Changes, type Freshness, type Listing, ObjectStore, type StoreEvent, type StoredObject, type WatchOptions,
} from './store.js';
