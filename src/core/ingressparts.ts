import {type AdmissionController} from './admissioncontroller.js';
import {type Catalog} from './catalog.js';
import {type CoreContext} from './corecontext.js';
import {type Links} from './links.js';
import {type Membership} from './membership.js';
import {type FloorTable} from './floortable.js';
import {type LoadBalancer} from './loadbalancer.js';
import {type QuarantineGate} from './quarantinegate.js';

/** The components that the ingress uses; all belong to the same daemon. */
export type IngressParts = {
	readonly self: string;
	readonly incarnation: number;
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly links: Links;
	readonly loadBalancer: LoadBalancer;
	readonly floorTable: FloorTable;
	readonly admission: AdmissionController;
	readonly catalog: () => Catalog | undefined;
	readonly quarantineGate?: QuarantineGate | undefined;
};
