import type {GatewayTarget} from './gateway-target.js';

/** Changes in the list of targets since a revision. */
export type TargetChanges = {
	/** Registry revision after which the changes begin; 0 for a complete list. */
	readonly since: number;
	readonly changed: readonly GatewayTarget[];
	/** Removed targets, each with the registry revision at which its absence was noticed. */
	readonly removed: ReadonlyArray<readonly [id: string, revision: number]>;
};
