import type {RequestKind} from '../callers/request-kind.js';

/** A service of a site, what it carries and what callers ask of it. */
export type ServiceWorkload = {
	readonly service: string;
	/** Slots of all its targets. */
	readonly slots: number;
	readonly kinds: readonly RequestKind[];
	/** Requests of this mix that the slots can carry in a second, slow times taken into account. */
	readonly capacityPerSecond: number;
};
