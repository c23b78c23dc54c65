import {randomUUID} from 'node:crypto';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import {Emitter} from '../common/emitter.js';
import type {StoredResponse} from '../common/stored-response.js';
import type {KeyClaim} from '../common/key-claim.js';
import type {KeyReport} from '../common/key-report.js';
import type {KeySettlement} from '../common/key-settlement.js';
import type {KeyVerdict} from '../common/key-verdict.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';
import {Outcome} from '../common/outcome.js';
import type {PeerClient} from '../io/peer/peer-client.js';
import {chooseKeyOwners} from '../policy/choose-key-owners.js';
import {IdempotencyKeyStore} from '../policy/idempotency-key-store.js';
import {MembershipHistory} from '../policy/membership-history.js';

type KeyDemand = Omit<KeyClaim, 'claimId' | 'holder'>;

/** A granted claim and the instances that were asked for it. */
type GrantedClaim = {readonly claim: KeyClaim; readonly owners: readonly string[]};

type ClaimResult =
	| {readonly kind: 'granted'; readonly granted: GrantedClaim}
	| {readonly kind: 'unreachable'}
	| Exclude<KeyVerdict, {kind: 'granted'}>;

type KeyControllerOptions = {
	readonly members: MemberDirectory;
	readonly getPeer: (instanceId: string) => PeerClient | undefined;
	readonly clock: Clock;
};

const ownerCount = 2;
const peerTimeoutMs = 300;
const maxWaitPerCallMs = 500;
/** Time within which all instances learn of a membership change, in ms. */
const convergenceMs = 5000;
const limits = {keys: 100_000, responseBytes: 33_554_432};

/** Tracks idempotency keys together with the other instances, so that the request of a key runs at most once. */
export class KeyController implements DisposableLike {
	private readonly _keyStore = new IdempotencyKeyStore(limits);
	private readonly _membershipHistory: MembershipHistory;
	private readonly _onSettled = new Emitter<KeyReport>();
	private readonly _pending = new Map<string, Promise<ClaimResult>>();
	private readonly _store = new DisposableStore();

	constructor(private readonly _options: KeyControllerOptions) {
		const {members, clock} = _options;
		this._membershipHistory = new MembershipHistory({convergenceMs}, clock.now());
		this._updateMembers(members.listMembers());
		this._store.add(members.onMembersChanged(changed => {
			this._updateMembers(changed);
		}));
		this._store.add(this._onSettled);
	}

	/** Number of keys stored now. */
	get size(): number {
		return this._keyStore.size;
	}

	/** Claims a key at this instance and at the key's owners; its request may run only if the claim is granted. */
	async claimKey(demand: KeyDemand): Promise<ClaimResult> {
		const id = `${demand.service}\n${demand.key}`;
		for (let pending = this._pending.get(id); pending !== undefined; pending = this._pending.get(id)) {
			await pending;
		}

		const claim: KeyClaim = {...demand, claimId: randomUUID(), holder: this._options.members.self.instance.id};
		const claiming = this._claimFromOwners(claim);
		this._pending.set(id, claiming);
		try {
			return await claiming;
		} finally {
			this._pending.delete(id);
		}
	}

	/** Reports the outcome of a claim's request to every instance that was asked for the claim. */
	settleClaim({claim, owners}: GrantedClaim, outcome: Outcome, response?: StoredResponse): void {
		const {service, key, claimId} = claim;
		const settlement: KeySettlement = {
			service, key, claimId, outcome, answer: response,
		};
		this.acceptSettlement(settlement);
		this._onSettled.fire({
			claimId, holder: claim.holder, outcome, answer: response,
		});
		for (const owner of owners) {
			void this._sendSettlement(owner, settlement);
		}
	}

	/** Decides, as an owner of the key, on a claim of a peer or of this instance. */
	acceptClaim(claim: KeyClaim): KeyVerdict {
		const now = this._options.clock.now();
		const canRuleOutGrant = claim.firstSentAgoMs !== undefined && this._membershipHistory.canRuleOutGrant(claim.firstSentAgoMs, claim.memoryMs, now);
		return this._keyStore.acceptClaim(claim, canRuleOutGrant, now);
	}

	acceptSettlement(settlement: KeySettlement): void {
		this._keyStore.acceptSettlement(settlement);
	}

	/**
	Waits until the request of a key that this instance holds has ended.
	@returns The report, without an outcome when the wait timed out; undefined when the key is not stored.
	*/
	async waitForKey(service: string, key: string, waitMs: number): Promise<KeyReport | undefined> {
		const report = this._keyStore.getReport(service, key, this._options.clock.now());
		if (report === undefined || report.outcome !== undefined) {
			return report;
		}

		return new Promise(resolve => {
			const finish = (result: KeyReport) => {
				clearTimeout(timer);
				subscription.dispose();
				resolve(result);
			};

			const timer = setTimeout(() => {
				finish(report);
			}, waitMs);
			const subscription = this._onSettled.event(settled => {
				if (settled.claimId === report.claimId) {
					finish(settled);
				}
			});
		});
	}

	/**
	Waits at the instance that holds a key until its request has ended.
	@returns The report, without an outcome when the wait timed out; undefined when the holder is unreachable or no longer stores the key.
	*/
	async waitForHolder(report: KeyReport, service: string, key: string, waitMs: number): Promise<KeyReport | undefined> {
		if (report.outcome !== undefined) {
			return report;
		}

		if (report.holder === this._options.members.self.instance.id) {
			return this.waitForKey(service, key, waitMs);
		}

		return this._waitAtPeer(report, service, key, waitMs);
	}

	/** Takes the ids of the platform's instance list. */
	updateListed(ids: ReadonlySet<string>): void {
		this._membershipHistory.updateListed(ids);
	}

	/** Discards the membership history after a pause of the process: resent keys from before now are no longer granted when unknown here. */
	resetMembershipHistory(): void {
		this._membershipHistory.resetStableSince(this._options.clock.now());
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _claimFromOwners(claim: KeyClaim): Promise<ClaimResult> {
		const owners = chooseKeyOwners(this._listAlive().map(member => member.instance.id), claim.service, claim.key, ownerCount);
		const isOwner = owners.includes(claim.holder);
		const order = isOwner ? owners : [claim.holder, ...owners];
		const contacted: string[] = [];
		let ownerGrants = 0;
		for (const id of order) {
			contacted.push(id);
			const verdict = await this._requestClaim(id, claim, isOwner);
			if (verdict === undefined && claim.firstSentAgoMs !== undefined) {
				this.settleClaim({claim, owners: contacted}, Outcome.NotRun);
				return {kind: 'unvouched'};
			}

			if (verdict !== undefined && verdict.kind !== 'granted') {
				this.settleClaim({claim, owners: contacted}, Outcome.NotRun);
				return verdict;
			}

			ownerGrants += verdict !== undefined && owners.includes(id) ? 1 : 0;
		}

		if (ownerGrants === 0) {
			this.settleClaim({claim, owners: contacted}, Outcome.NotRun);
			return {kind: 'unreachable'};
		}

		return {kind: 'granted', granted: {claim, owners: contacted}};
	}

	/** Requests the verdict of one instance; undefined when it cannot be reached. */
	private async _requestClaim(id: string, claim: KeyClaim, isOwner: boolean): Promise<KeyVerdict | undefined> {
		if (id === claim.holder) {
			// A holder that is not an owner cannot rule out an earlier grant, so that check is left to the owners.
			return isOwner ? this.acceptClaim(claim) : this._keyStore.acceptClaim(claim, true, this._options.clock.now());
		}

		try {
			const verdict = await this._options.getPeer(id)?.api.keys.claim.mutate(claim, {signal: AbortSignal.timeout(peerTimeoutMs)});
			return verdict as KeyVerdict | undefined;
		} catch {
			return undefined;
		}
	}

	/** Waits with short calls, so that a failure of the holder is noticed early. */
	private async _waitAtPeer(report: KeyReport, service: string, key: string, waitMs: number): Promise<KeyReport | undefined> {
		const {clock, getPeer} = this._options;
		const endAt = clock.now() + waitMs;
		let latest: KeyReport | undefined = report;
		while (latest !== undefined && latest.outcome === undefined && clock.now() < endAt) {
			latest = await this._queryHolder(getPeer(report.holder), {service, key, waitMs: Math.min(maxWaitPerCallMs, endAt - clock.now())});
		}

		return latest;
	}

	private async _queryHolder(peer: PeerClient | undefined, request: {service: string; key: string; waitMs: number}): Promise<KeyReport | undefined> {
		try {
			const report = await peer?.api.keys.wait.query(request, {signal: AbortSignal.timeout(request.waitMs + peerTimeoutMs)});
			return report === undefined
				? undefined
				: {
					claimId: report.claimId, holder: report.holder, outcome: report.outcome, answer: report.answer,
				};
		} catch {
			return undefined;
		}
	}

	private async _sendSettlement(id: string, settlement: KeySettlement): Promise<void> {
		try {
			await this._options.getPeer(id)?.api.keys.settle.mutate(settlement, {signal: AbortSignal.timeout(peerTimeoutMs)});
		} catch {
			// An owner that misses the settlement still reports this instance as holder, which is asked when the key is sent again.
		}
	}

	private _listAlive(): readonly Member[] {
		return this._options.members.listMembers().filter(member => member.state === MemberState.Alive);
	}

	private _updateMembers(members: readonly Member[]): void {
		const alive = new Map(members.filter(member => member.state === MemberState.Alive).map(member => [member.instance.id, member.incarnation]));
		const leaving = new Set(members.filter(member => member.state === MemberState.Leaving).map(member => member.instance.id));
		this._membershipHistory.updateMembers(alive, leaving, this._options.clock.now());
	}
}
