import {err, ok, type Result} from 'neverthrow';

type IpAddress = {readonly host: string; readonly port: number};

const addressPattern = /^(?<host>(?:\d{1,3}\.){3}\d{1,3}):(?<port>\d{1,5})$/v;
const maxOctet = 255;
const maxPort = 65_535;

/** Parses an address of the form `a.b.c.d:port`, with a port that a connection can be opened to. The error describes what is wrong. */
export const parseIpAddress = (text: string): Result<IpAddress, string> => {
	const {host, port} = addressPattern.exec(text)?.groups ?? {};
	if (host === undefined || port === undefined) {
		return err('must be an address of the form a.b.c.d:port');
	}

	if (host.split('.').some(octet => Number(octet) > maxOctet)) {
		return err(`must not have a number above ${maxOctet} in its IP address`);
	}

	const portNumber = Number(port);
	return portNumber === 0 || portNumber > maxPort
		? err(`must have a port from 1 to ${maxPort}`)
		: ok({host, port: portNumber});
};
