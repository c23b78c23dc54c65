import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';
import {maxMemberCount} from '../../common/gateway/max-member-count.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {parseIpAddress} from '../../common/gateway/parse-ip-address.js';
import {gatewayTargetSchema} from '../../common/gateway/gateway-target-schema.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {TargetChanges} from '../../common/gateway/target-changes.js';
import type {TargetIncarnation} from '../../common/gateway/target-incarnation.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import {decodeEvacuations} from './decode-evacuations.js';
import {decodeMember} from './decode-member.js';
import type {EncodedMember} from './encoded-member.js';

type DecodedEnvelope = {
	readonly message: SyncMessage;
	/** Descriptions of the parts that are invalid and were left out. */
	readonly refused: readonly string[];
};

const targetListSchema = z.array(gatewayTargetSchema);

type Fields = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value);

const isText = (value: unknown): value is string => typeof value === 'string' && value.length > 0;

/** A version, a revision or another number that is counted up. */
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0;

const isMemberCount = (value: unknown): value is number => isCount(value) && value <= maxMemberCount;

/** A time or a number of cores, which may have a fraction. */
const isAmount = (value: unknown): value is number => typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;

const isAddress = (value: unknown): value is string => typeof value === 'string' && parseIpAddress(value).isOk();

const isMemberState = (value: unknown): value is MemberState => typeof value === 'number' && MemberState[value] !== undefined;

const isMember = (member: unknown): member is EncodedMember => {
	if (!Array.isArray(member)) {
		return false;
	}

	const [id, failureDomain, dataAddress, peerAddress, cores, incarnation, revision, state, isServing, canRead] = member as unknown[];
	return isText(id) && typeof failureDomain === 'string' && isAddress(dataAddress) && isAddress(peerAddress)
		&& isAmount(cores) && isMemberCount(incarnation) && isMemberCount(revision) && isMemberState(state)
		&& typeof isServing === 'boolean' && typeof canRead === 'boolean';
};

const isRemovedTarget = (removed: unknown): removed is TargetChanges['removed'][number] => Array.isArray(removed) && isText(removed[0]) && isCount(removed[1]);

/** Decodes changes of targets; undefined when any part is invalid. */
const decodeTargetChanges = (changes: unknown): TargetChanges | undefined => {
	if (!isObject(changes) || !isCount(changes.since) || !Array.isArray(changes.removed) || !changes.removed.every(removed => isRemovedTarget(removed))) {
		return undefined;
	}

	const changed = targetListSchema.safeParse(changes.changed);
	return changed.success ? {since: changes.since, changed: changed.data, removed: changes.removed} : undefined;
};

const isIncarnation = (target: unknown): target is TargetIncarnation => isObject(target) && isText(target.id) && Number.isFinite(target.startedAt);

const isView = (view: unknown): view is ViewVersion =>
	isObject(view) && isCount(view.configuration) && isAmount(view.configurationAgeMs) && isCount(view.targets) && isAmount(view.targetsAgeMs)
	&& (view.targetsGeneration === undefined || isCount(view.targetsGeneration)) && (view.newestConfiguration === undefined || isCount(view.newestConfiguration));

/**
Decodes a message of a peer and never throws. Invalid members are left out; so is the whole list of targets when one of them is invalid, since
a list counts as complete. The error describes why the message cannot be used at all.
*/
export const decodeEnvelope = (value: unknown): Result<DecodedEnvelope, string> => {
	if (!isObject(value) || !isText(value.from) || !Array.isArray(value.members) || !isObject(value.view)) {
		return err('a message needs from, members and view');
	}

	const {from, incarnation, changeNumber, takenNumber, digest, view, targets, leaving} = value;
	if (!isCount(incarnation) || !isCount(changeNumber) || !isCount(takenNumber) || !isCount(digest) || !isView(view)) {
		return err('a message needs whole numbers for incarnation, changes, digest and view');
	}

	const refused: string[] = [];
	const members = value.members.filter(member => isMember(member));
	if (members.length < value.members.length) {
		refused.push(`${value.members.length - members.length} of ${value.members.length} members`);
	}

	const targetChanges = decodeTargetChanges(targets);
	if (targets !== undefined && targetChanges === undefined) {
		refused.push('the list of targets');
	}

	const evacuations = decodeEvacuations(view, value.evacuations);
	if (!evacuations.isValid) {
		refused.push('the evacuations');
	}

	const leavingTargets = Array.isArray(leaving) ? leaving.filter(target => isIncarnation(target)) : [];
	return ok({
		message: {
			from,
			incarnation,
			changeNumber,
			takenNumber,
			digest,
			members: members.map(member => decodeMember(member)),
			view: evacuations.view,
			...(evacuations.set !== undefined && {evacuations: evacuations.set}),
			...(targetChanges !== undefined && {targets: targetChanges}),
			...(leavingTargets.length > 0 && {leaving: leavingTargets}),
		},
		refused,
	});
};
