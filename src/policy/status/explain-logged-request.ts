import type {LoggedEvent} from '../../common/logged-event.js';

type Attempt = {readonly target: string; readonly end: string; readonly afterMs: number; readonly tookMs: number; readonly slowdown?: number; readonly reportAgeMs?: number};

/** Time before and after a request in which other events are considered related, in ms; detecting a lost target or registry takes up to 1.5 s. */
const nearbyWindowMs = 2000;
/** Fraction of a request's time above which the wait in the queue is reported as the cause; otherwise the targets are. */
const mainCauseFraction = 0.5;

const getAttempts = (event: LoggedEvent): readonly Attempt[] => Array.isArray(event.attempts) ? event.attempts as Attempt[] : [];
const isRequest = (event: LoggedEvent): boolean => typeof event.request === 'string';
const isNear = (a: LoggedEvent, b: LoggedEvent): boolean => Math.abs(Date.parse(a.time) - Date.parse(b.time)) <= nearbyWindowMs;

const describeAttempt = ({target, end, afterMs, tookMs, slowdown, reportAgeMs}: Attempt): string => {
	const report = slowdown === undefined ? 'no load report' : `slowdown ${slowdown} reported ${reportAgeMs ?? 0} ms before`;
	return `  sent to ${target} after ${afterMs} ms, ${end} after ${tookMs} ms (${report})`;
};

const explainCause = (event: LoggedEvent): string => {
	const attempts = getAttempts(event);
	const [first] = attempts;
	const tookMs = Number(event.tookMs ?? 0);
	if (first === undefined) {
		return 'it was not sent to any target';
	}

	if (event.error !== undefined) {
		return `its last target ${attempts.at(-1)?.target ?? ''} ended it as ${attempts.at(-1)?.end ?? ''}`;
	}

	return first.afterMs > tookMs * mainCauseFraction ? 'it waited for a free target' : `its time was spent at ${attempts.map(({target}) => target).join(', ')}`;
};

const countByTarget = (events: readonly LoggedEvent[], request: LoggedEvent): string[] => [...new Set(getAttempts(request).map(({target}) => target))].map(target => {
	const ends = new Map<string, number>();
	for (const event of events) {
		for (const attempt of isRequest(event) && event !== request && isNear(event, request) ? getAttempts(event) : []) {
			if (attempt.target === target) {
				ends.set(attempt.end, (ends.get(attempt.end) ?? 0) + 1);
			}
		}
	}

	const counts = [...ends].map(([end, count]) => `${count} ${end}`).join(', ');
	return `  other attempts at ${target} within ${nearbyWindowMs} ms: ${counts === '' ? 'none logged' : counts}`;
});

/**
Explains from the logs how a request ended.
@param events - Events of all instances, sorted by time.
@param request - Id of the request.
@returns Lines of text; empty when no event belongs to the request.
*/
export const explainLoggedRequest = (events: readonly LoggedEvent[], request: string): string[] => events.filter(event => event.request === request).flatMap(event => {
	const end = typeof event.error === 'string' ? `${event.error}: ${String(event.detail)}` : `status ${String(event.status)}`;
	const nearby = events.filter(other => !isRequest(other) && other.instance === event.instance && isNear(other, event));
	return [
		`${event.time} ${event.instance} request ${request} of service ${String(event.service)}: ${end}; outcome ${String(event.outcome)} after ${String(event.tookMs)} ms`,
		`  cause: ${explainCause(event)}`,
		...getAttempts(event).map(attempt => describeAttempt(attempt)),
		...countByTarget(events, event),
		`  decided by configuration ${String(event.configurationVersion)} and a list of targets seen ${String(event.targetsAgeMs)} ms before`,
		...nearby.map(other => `  ${other.time} ${other.instance} ${other.event}`),
	];
});
