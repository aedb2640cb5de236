import {isIPv4} from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/** The schema of a TCP address as text: an IPv4 address and a port, to which a connection can be opened. */
export const addressSchema = z.string().refine(text => {
	const [ip, port, ...rest] = text.split(':');
	return rest.length === 0 && isIPv4(ip) && /^\d+$/v.test(port) && Number(port) > 0 && Number(port) <= MAX_PORT;
}, 'expected IP:PORT');
