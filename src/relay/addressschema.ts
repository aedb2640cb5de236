import {isIPv4} from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/** The schema of a TCP address as text: an IPv4 address and a port, to which a connection can be opened. */
export const addressSchema = z.string().refine(text => isAddress(text, 1), 'expected IP:PORT');

/** The same for an address of this host, where port 0 has the operating system choose one. */
export const localAddressSchema = z.string().refine(text => isAddress(text, 0), 'expected IP:PORT');

function isAddress(text: string, minPort: number): boolean {
	const [ip, port, ...rest] = text.split(':');
	return rest.length === 0 && isIPv4(ip) && /^\d+$/v.test(port) && Number(port) >= minPort && Number(port) <= MAX_PORT;
}
