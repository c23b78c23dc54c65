/** Time limit of a call for a peer's configuration, in ms: the largest one takes 0.3 s on a link of 10 Mbit/s, and both instances may be busy. */
export const configurationTimeoutMs = 1500;
