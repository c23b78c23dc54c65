/** Maximum number of pipelined requests in progress on one connection; HTTP/1.1 sends their responses in order, so finished ones are held. */
export const maxPipelinedRequests = 32;
