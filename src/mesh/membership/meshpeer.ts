import {type MeshPeer} from '../../core/index.js';
import {type HostEntry} from './host.js';

/** A host as the mesh of the core sees it; entries name no region, as the store serves one region only. */
export function meshPeerOf({host, failureDomain}: Pick<HostEntry, 'host' | 'failureDomain'>): MeshPeer {
	return {id: host, region: '', failureDomain};
}
