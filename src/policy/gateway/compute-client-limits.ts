import type {ClientLimits} from '../../common/gateway/client-limits.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';

/** Descriptors of an instance whose settings don't state them. */
const defaultDescriptors = 4096;
/** Descriptors that the platform keeps for files. */
const fileDescriptors = 200;
/** Share of the other descriptors that connections of clients may take; the rest is for those to targets, peers and the registry. */
const connectionShare = 0.75;
/** Memory that is not for clients, in bytes: 46 MB of the program, a heap of 64 MB, and 64 MB of buffers that are released and that Node.js has not freed yet. */
const programBytes = 174_000_000;
/** Least share of the memory limit that clients get on an instance with hardly more memory than the program needs. */
const minMemoryShare = 0.125;
/** Requests in progress on a connection beyond which it is closed; from 33 on they are refused. */
const defaultRequestsPerConnection = 128;

/** Computes what clients may take of an instance, from its settings. */
export const computeClientLimits = ({memoryBytes, descriptors = defaultDescriptors, clients = {}}: GatewaySettings['limits']): ClientLimits => ({
	memoryBytes: clients.memoryBytes ?? Math.max(memoryBytes * minMemoryShare, memoryBytes - programBytes),
	connections: clients.connections ?? Math.max(1, Math.floor((descriptors - fileDescriptors) * connectionShare)),
	requestsPerConnection: clients.requestsPerConnection ?? defaultRequestsPerConnection,
});
