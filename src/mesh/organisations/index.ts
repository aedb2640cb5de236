export {type Organisation} from './organisation.js';
export {OrganisationTable} from './organisationtable.js';
