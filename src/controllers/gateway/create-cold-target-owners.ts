import type {DisposableStore} from '../../common/disposable-store.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import {systemClock} from '../../io/system-clock.js';
import {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import type {MemberController} from './member-controller.js';
import type {SiteView} from './site-view.js';

type OwnersOptions = {
	readonly settings: GatewaySettings;
	readonly members: MemberController;
	readonly view: SiteView;
	/** Ends the subscription. */
	readonly store: DisposableStore;
};

/** Creates the division of the requests to cold targets, which follows the members whenever the view is confirmed. */
export const createColdTargetOwners = ({settings: {instance, limits}, members, view, store}: OwnersOptions): ColdTargetOwners => {
	const owners = new ColdTargetOwners({
		selfId: instance.id, members, overshoot: limits.warmUpOvershoot, slack: limits.warmUpSlack,
	}, systemClock.now());
	store.add(view.onVersionChange(() => {
		owners.refresh(systemClock.now());
	}));
	return owners;
};
