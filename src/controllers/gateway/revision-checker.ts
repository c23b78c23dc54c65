import type {RevisedTargetChanges} from '../../common/gateway/revised-target-changes.js';
import type {TargetList} from '../../common/gateway/target-list.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import type {Clock} from '../../common/clock.js';
import type {Logger} from '../../common/logger.js';
import {RevisionRegression} from '../../policy/gateway/revision-regression.js';
import type {SiteView} from './site-view.js';

type RevisionCheckerOptions = {
	readonly view: SiteView;
	readonly logger: Logger;
	readonly clock: Clock;
};

/** Passes lists of targets on to the view, and notices when the registry's revision is lower than one that was held before the call. */
export class RevisionChecker {
	private readonly _regression = new RevisionRegression();

	constructor(private readonly _options: RevisionCheckerOptions) {}

	/**
	Offers a list that was read from the registry; returns false when its revision is lower, so that it has to be read again.
	@param held - Version of the view before the call.
	@param ageMs - Time since the call began, in ms.
	*/
	offerList(list: TargetList, held: ViewVersion, ageMs: number): boolean {
		const {view, clock} = this._options;
		const isLower = this._isLower('targets', held, list.revision);
		const isAccepted = this._regression.noteAnswer(isLower, clock.now());
		if (isAccepted) {
			view.acceptTargets(list, ageMs);
		} else if (!isLower) {
			view.offerTargets(list, ageMs);
		}

		return isAccepted || !isLower;
	}

	/**
	Offers changes that the registry has reported; returns false when the complete list has to be read.
	@param held - Version of the view before the call.
	*/
	offerEvents(changes: RevisedTargetChanges, held: ViewVersion): boolean {
		const {view, clock} = this._options;
		if (this._isLower('target-changes', {...held, targets: changes.since}, changes.revision)) {
			this._regression.noteAnswer(true, clock.now());
			return false;
		}

		return view.offerTargetEvents(changes);
	}

	/** Revisions of another generation, which peers may have sent during the call, cannot be compared. */
	private _isLower(subject: string, held: ViewVersion, answered: number): boolean {
		const {view, logger} = this._options;
		const isLower = answered < held.targets && view.version.targetsGeneration === held.targetsGeneration;
		if (isLower) {
			logger.logError('registry-revision-lower', {subject, held: held.targets, answered});
		}

		return isLower;
	}
}
