import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';

/**
Chooses the instance that is asked for a newer configuration. One whose configuration was refused is not asked again before it announces
another version, since it would send the same; one that could not be reached is not asked again for a while.
*/
export class HolderChooser {
	private _refused: readonly ConfigurationHolder[] = [];
	/** Times from which instances that could not be reached may be asked again, by id, in ms. */
	private readonly _excludedUntil = new Map<string, number>();

	/**
	Chooses the first holder that may be asked; undefined when there is none.
	@param holders - All instances that announce a newer configuration, the preferred first. A refusal of one that is not among them is forgotten.
	@param asked - Ids of instances that are being asked already.
	*/
	chooseHolder(holders: readonly ConfigurationHolder[], asked: ReadonlySet<string>, now: number): ConfigurationHolder | undefined {
		this._refused = this._refused.filter(refused => holders.some(holder => this._isSameAnnouncement(holder, refused)));
		for (const [id, until] of this._excludedUntil) {
			if (now >= until) {
				this._excludedUntil.delete(id);
			}
		}

		return holders.find(holder => !asked.has(holder.id) && !this._excludedUntil.has(holder.id) && !this._refused.some(refused => this._isSameAnnouncement(holder, refused)));
	}

	/** Records that what a holder gave as its announced configuration was refused. */
	refuse(holder: ConfigurationHolder): void {
		this._refused = [...this._refused.filter(({id}) => id !== holder.id), holder];
	}

	/** Records that a holder could not be reached and is not asked again before a time, in ms. */
	excludeUntil({id}: ConfigurationHolder, until: number): void {
		this._excludedUntil.set(id, until);
	}

	private _isSameAnnouncement(a: ConfigurationHolder, b: ConfigurationHolder): boolean {
		return a.id === b.id && a.incarnation === b.incarnation && a.announcedVersion === b.announcedVersion;
	}
}
