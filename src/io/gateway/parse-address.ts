type Address = {readonly host: string; readonly port: number};

/** Splits an address of the form `host:port` at its last colon; the port is not checked. */
export const parseAddress = (address: string): Address => {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
};
