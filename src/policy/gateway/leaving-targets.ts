import type {TargetIncarnation} from '../../common/gateway/target-incarnation.js';

type Entry = {readonly target: TargetIncarnation; readonly notedAt: number};

/** Number of targets that are held; the oldest is forgotten first. */
const maxEntries = 2000;
/** Time for which peers are told of a target, in ms: a few exchanges with each neighbour. */
const recentMs = 3000;

const createKey = ({id, startedAt}: TargetIncarnation): string => `${id} ${startedAt}`;

/** The targets that have announced in a response that they are leaving. A list of targets, which may be older, does not revoke it. */
export class LeavingTargets {
	private readonly _entries = new Map<string, Entry>();

	/** Notes that a target is leaving; returns whether that is new. */
	add(target: TargetIncarnation, now: number): boolean {
		const key = createKey(target);
		if (this._entries.has(key)) {
			return false;
		}

		this._entries.set(key, {target: {id: target.id, startedAt: target.startedAt}, notedAt: now});
		const [oldestKey] = this._entries.keys();
		if (oldestKey !== undefined && this._entries.size > maxEntries) {
			this._entries.delete(oldestKey);
		}

		return true;
	}

	has(target: TargetIncarnation): boolean {
		return this._entries.size > 0 && this._entries.has(createKey(target));
	}

	/** Lists the targets that were noted lately, for peers. */
	listRecent(now: number): TargetIncarnation[] {
		return [...this._entries.values()].filter(({notedAt}) => now - notedAt <= recentMs).map(({target}) => target);
	}
}
