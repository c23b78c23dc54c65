import type {KeyClaim} from '../common/key-claim.js';
import type {KeyReport} from '../common/key-report.js';
import type {KeySettlement} from '../common/key-settlement.js';
import type {KeyVerdict} from '../common/key-verdict.js';
import {Outcome} from '../common/outcome.js';

type KeyRecord = {
	readonly fingerprint: string;
	readonly report: KeyReport;
	readonly expiresAt: number;
};

type KeyMemoryLimits = {
	/** Keys remembered at the same time; more are refused, since forgetting one could let a request run twice. */
	readonly keys: number;
	/** Bytes of answers kept; further answers are told as `ran` only. */
	readonly answerBytes: number;
};

/** Remembers idempotency keys for a bounded time, and decides whether the request of a key may run. */
export class KeyMemory {
	/** Records by service; all of a service live equally long, so that the first is the oldest. */
	private readonly _records = new Map<string, Map<string, KeyRecord>>();
	private _count = 0;
	private _answerBytes = 0;

	constructor(private readonly _limits: KeyMemoryLimits) {}

	/** Keys remembered now. */
	get size(): number {
		return this._count;
	}

	/**
	Grants a claim or tells what is known.
	@param claim - The claim.
	@param canVouch - Whether a key that is not in this memory was certainly never granted; only asked of resends.
	@param now - Time on the instance's clock, in ms.
	*/
	acceptClaim(claim: KeyClaim, canVouch: boolean, now: number): KeyVerdict {
		const records = this._getRecords(claim.service, now);
		const known = records.get(claim.key);
		if (known !== undefined) {
			return known.fingerprint === claim.fingerprint ? {kind: 'known', report: known.report} : {kind: 'conflict'};
		}

		if (claim.firstSentAgoMs !== undefined && !canVouch) {
			return {kind: 'unvouched'};
		}

		if (this._count >= this._limits.keys) {
			return {kind: 'full'};
		}

		this._count++;
		records.set(claim.key, {
			fingerprint: claim.fingerprint,
			report: {
				claimId: claim.claimId, holder: claim.holder, outcome: undefined, answer: undefined,
			},
			expiresAt: now + claim.memoryMs,
		});
		return {kind: 'granted'};
	}

	/** Takes the end of a claim; a request that did not run leaves its key free. */
	acceptSettlement(settlement: KeySettlement): void {
		const records = this._records.get(settlement.service);
		const known = records?.get(settlement.key);
		if (records === undefined || known?.report.claimId !== settlement.claimId || known.report.outcome !== undefined) {
			return;
		}

		if (settlement.outcome === Outcome.NotRun) {
			this._forget(records, settlement.key, known);
			return;
		}

		const bytes = settlement.answer?.body.length ?? 0;
		const canKeep = this._answerBytes + bytes <= this._limits.answerBytes;
		this._answerBytes += canKeep ? bytes : 0;
		records.set(settlement.key, {
			...known, report: {...known.report, outcome: settlement.outcome, answer: canKeep ? settlement.answer : undefined},
		});
	}

	/** What is remembered of a key. */
	getReport(service: string, key: string, now: number): KeyReport | undefined {
		return this._getRecords(service, now).get(key)?.report;
	}

	private _getRecords(service: string, now: number): Map<string, KeyRecord> {
		let records = this._records.get(service);
		if (records === undefined) {
			records = new Map();
			this._records.set(service, records);
		}

		for (const [key, record] of records) {
			if (record.expiresAt > now) {
				break;
			}

			this._forget(records, key, record);
		}

		return records;
	}

	private _forget(records: Map<string, KeyRecord>, key: string, record: KeyRecord): void {
		records.delete(key);
		this._count--;
		this._answerBytes -= record.report.answer?.body.length ?? 0;
	}
}
