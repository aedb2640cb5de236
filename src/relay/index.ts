export {Relay} from './relay.js';
export {type DaemonSettings, type DaemonOptions, runRelay} from './runrelay.js';
export {type Address, type RelaySettings} from './settings.js';
export {
	Adapter, type ConfigurationKey, type HeaderNames, type TargetMessage,
} from './adapter.js';
export {addressSchema, localAddressSchema} from './addressschema.js';
export {decode} from './decode.js';
export {MAX_SETTINGS_WAIT_MS, SettingsFile} from './settingsfile.js';
export {slotsSchema, startSchema} from './numberschema.js';
export {DecodeError, StoreError} from './error.js';
export {
	type StoreChanges, type StoreEpoch, type Freshness, type StoreListing, ObjectStore, type StoreEvent, type StoredObject, type WatchOptions,
} from './store/store.js';
export {hashPrefixOf} from './clients/keyhash.js';
export {type OrganisationAnswer, type OrganisationReport, type RelayStatus} from './operators/relayreport.js';
export {type LiftReport, type QuarantineReport} from './operators/quarantinereport.js';
export {ORGANISATION_PATH, QUARANTINE_PATH, STATUS_PATH} from './operators/metricsendpoint.js';
