import type {PooledTarget} from './pooled-target.js';

/** Interval at which a removed target is checked for requests in flight, in ms. */
const pollMs = 1000;

/** Disposes of the client of a removed target once no request is in flight at it. */
export const disposeClientWhenIdle = ({record, client}: Pick<PooledTarget, 'record' | 'client'>): void => {
	const timer = setInterval(() => {
		if (record.inFlight === 0) {
			clearInterval(timer);
			client.dispose();
		}
	}, pollMs).unref();
};
