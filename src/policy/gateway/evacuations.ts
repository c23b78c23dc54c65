import type {EvacuationOrder} from '../../common/gateway/evacuation-order.js';
import type {EvacuationSet} from '../../common/gateway/evacuation-set.js';
import {isNewerEvacuation} from './is-newer-evacuation.js';

/** The evacuated failure domains that this instance knows of. A newer set replaces the held one, an older one never does. */
export class Evacuations {
	private _set: EvacuationSet = {
		generation: 0, era: 0, revision: 0, domains: [],
	};

	/** Time until which a domain that the restored registry has lost stays evacuated, in ms; one that has ended is kept until the registry is restored again. */
	private _retainedUntil = new Map<string, number>();

	/** @param _retentionMs - Time for which a domain stays evacuated that a restored registry has lost, in ms. */
	constructor(private readonly _retentionMs: number) {}

	/** What orders the held set. */
	get order(): EvacuationOrder {
		const {generation, era, revision} = this._set;
		return {generation, era, revision};
	}

	/** Whether a set is known, even an empty one. */
	get isKnown(): boolean {
		return this._set.revision > 0;
	}

	/** Applies a set; returns whether it is newer than the held one. */
	offer(set: EvacuationSet, now: number): boolean {
		const isNewer = isNewerEvacuation(set, this._set);
		const isOfSameStore = set.generation === this._set.generation && set.era === this._set.era;
		if (isNewer && this.isKnown && !isOfSameStore) {
			// The copy from which the registry was restored may lack evacuations that operators write again.
			this._retainedUntil = new Map(this.listInForce(now).map(domain => [domain, now + this._retentionMs]));
		}

		if (isOfSameStore || isNewer) {
			this._addRetained(set, now);
		}

		if (isNewer) {
			this._set = {
				generation: set.generation, era: set.era, revision: set.revision, domains: [...set.domains].sort(),
			};
			for (const domain of set.domains) {
				// Once the domain is written after the restoration, its deletion takes effect like any other.
				this._retainedUntil.set(domain, Number.NEGATIVE_INFINITY);
			}
		}

		return isNewer;
	}

	/** Lists the domains that are evacuated now. */
	listInForce(now: number): string[] {
		return [...new Set([...this._set.domains, ...this._listRetained(now)])].sort();
	}

	/** Whether no request may be sent to the targets of a domain; to none before a set is known. */
	isEvacuated(domain: string, now: number): boolean {
		return !this.isKnown || this._set.domains.includes(domain) || now < (this._retainedUntil.get(domain) ?? Number.NEGATIVE_INFINITY);
	}

	/** Whether domains stay evacuated that the held set does not contain. */
	hasRetained(now: number): boolean {
		return this._listRetained(now).length > 0;
	}

	/** Creates the set to send to a peer. */
	createSet(now: number): EvacuationSet {
		const retained = this._listRetained(now).map(domain => ({domain, leftMs: Math.ceil((this._retainedUntil.get(domain) ?? now) - now)}));
		return retained.length > 0 ? {...this._set, retained} : this._set;
	}

	/** A domain is taken from peers once for each restoration, so that messages back and forth don't prolong its time. */
	private _addRetained({retained = []}: EvacuationSet, now: number): void {
		for (const {domain, leftMs} of retained) {
			if (!this._retainedUntil.has(domain)) {
				this._retainedUntil.set(domain, now + Math.min(leftMs, this._retentionMs));
			}
		}
	}

	private _listRetained(now: number): string[] {
		return [...this._retainedUntil].filter(([, until]) => now < until).map(([domain]) => domain);
	}
}
