export {
	type Authentication, type AuthenticationRefusal, type Credentials, type RevocationOptions, Authenticator, readBearerKey,
} from './authenticator.js';
export {entitlementsOf, largestOrganisations, quotaLimits} from './quota.js';
export {findConflict} from './conflict.js';
export {type Organisation} from './organisation.js';
export {type StatedRanks, RankOrder} from './rankorder.js';
export {OrganisationTable} from './organisationtable.js';
