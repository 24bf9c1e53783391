import {isIPv4} from 'node:net';

/** Host and port of a server. */
export type HostAndPort = Readonly<{host: string; port: number}>;

const addressPattern = /^(?<host>[\d.]{7,15}):(?<port>\d{1,5})$/v;
const maxPort = 65_535;

/**
Returns host and port of an address, or `undefined` when the text is not an IPv4 number with a port from 1 to 65535. A port of 0, with which a
server listens on a free port, is valid only with `minPort: 0`.

@example
parseAddress('10.1.0.13:8166'); // => {host: '10.1.0.13', port: 8166}
parseAddress('10.1.0.13:99999'); // => undefined
*/
export function parseAddress(text: string, {minPort = 1}: Readonly<{minPort?: 0 | 1}> = {}): HostAndPort | undefined {
	const {host = '', port = ''} = addressPattern.exec(text)?.groups ?? {};
	return isIPv4(host) && Number(port) >= minPort && Number(port) <= maxPort ? {host, port: Number(port)} : undefined;
}

/**
Returns whether a value is an address that a client can connect to.

@example
isAddress('10.1.0.13:-1'); // => false
*/
export function isAddress(value: unknown): value is string {
	return typeof value === 'string' && parseAddress(value) !== undefined;
}
