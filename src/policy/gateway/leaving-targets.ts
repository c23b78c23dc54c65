import type {TargetIncarnation} from '../../common/gateway/target-incarnation.js';

/** Number of targets that are held; the oldest is forgotten first. */
const maxEntries = 2000;

const createKey = ({id, startedAt}: TargetIncarnation): string => `${id} ${startedAt}`;

/** The targets that are leaving, by their own announcement or their record. A list of targets, which may be older, does not revoke it. */
export class LeavingTargets {
	private readonly _entries = new Set<string>();

	/** Notes that a target is leaving; returns whether that is new. */
	add(target: TargetIncarnation): boolean {
		const key = createKey(target);
		if (this._entries.has(key)) {
			return false;
		}

		this._entries.add(key);
		const [oldestKey] = this._entries;
		if (oldestKey !== undefined && this._entries.size > maxEntries) {
			this._entries.delete(oldestKey);
		}

		return true;
	}

	has(target: TargetIncarnation): boolean {
		return this._entries.size > 0 && this._entries.has(createKey(target));
	}
}
