import * as z from 'zod/mini';
import type {EvacuationSet} from '../../common/gateway/evacuation-set.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';

type DecodedEvacuations = {
	/** The version of the peer's view, without its evacuations when they are invalid. */
	readonly view: ViewVersion;
	readonly set: EvacuationSet | undefined;
	readonly isValid: boolean;
};

const count = z.int().check(z.nonnegative());
const time = z.number().check(z.nonnegative(), z.maximum(Number.MAX_SAFE_INTEGER));
const domain = z.string().check(z.minLength(1));
const versionSchema = z.object({
	generation: count, era: count, revision: count, ageMs: time,
});
const setSchema = z.object({
	generation: count, era: count, revision: count.check(z.positive()), domains: z.array(domain), retained: z.optional(z.array(z.object({domain, leftMs: time}))),
});

/** Decodes the evacuations in a message of a peer. When a part is invalid, all of them are left out, since a set counts as complete. */
export const decodeEvacuations = ({evacuations: version, ...view}: ViewVersion, set: unknown): DecodedEvacuations => {
	if (version === undefined && set === undefined) {
		return {view, set: undefined, isValid: true};
	}

	const decodedVersion = versionSchema.safeParse(version);
	const decodedSet = z.optional(setSchema).safeParse(set);
	return decodedVersion.success && decodedSet.success
		? {view: {...view, evacuations: decodedVersion.data}, set: decodedSet.data, isValid: true}
		: {view, set: undefined, isValid: false};
};
