import type {GatewayTarget} from './gateway-target.js';

/** What has changed in the list of targets. */
export type TargetChanges = {
	/** Revision of the registry after which the changes begin; 0 for a whole list. */
	readonly since: number;
	readonly changed: readonly GatewayTarget[];
	/** Targets that are gone, each with the revision at which that was noticed. */
	readonly removed: ReadonlyArray<readonly [id: string, revision: number]>;
};
