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
	/** Maximum number of keys; further keys are refused, since evicting one could let a request run twice. */
	readonly keys: number;
	/** Maximum bytes of stored response bodies; for further responses only the outcome is stored. */
	readonly responseBytes: number;
};

/** Stores idempotency keys for their retention period and decides whether the request of a key may run. */
export class IdempotencyKeyStore {
	/** Records by service and key; those of a service have the same retention period, so the first one expires first. */
	private readonly _records = new Map<string, Map<string, KeyRecord>>();
	private _keyCount = 0;
	private _storedBytes = 0;

	constructor(private readonly _limits: KeyMemoryLimits) {}

	/** Number of stored keys. */
	get size(): number {
		return this._keyCount;
	}

	/**
	Grants a claim, or reports why it is not granted.
	@param canRuleOutGrant - Whether a key that is not stored here was certainly never granted; only used when the caller sends the request again.
	@param now - Time on the instance's clock, in ms.
	*/
	acceptClaim(claim: KeyClaim, canRuleOutGrant: boolean, now: number): KeyVerdict {
		const records = this._getRecords(claim.service, now);
		const known = records.get(claim.key);
		if (known !== undefined) {
			return known.fingerprint === claim.fingerprint ? {kind: 'known', report: known.report} : {kind: 'conflict'};
		}

		if (claim.firstSentAgoMs !== undefined && !canRuleOutGrant) {
			return {kind: 'unvouched'};
		}

		if (this._keyCount >= this._limits.keys) {
			return {kind: 'full'};
		}

		this._keyCount++;
		records.set(claim.key, {
			fingerprint: claim.fingerprint,
			report: {
				claimId: claim.claimId, holder: claim.holder, outcome: undefined, answer: undefined,
			},
			expiresAt: now + claim.memoryMs,
		});
		return {kind: 'granted'};
	}

	/** Records how the request of a claim ended; the key of a request that did not run can be claimed again. */
	acceptSettlement(settlement: KeySettlement): void {
		const records = this._records.get(settlement.service);
		const known = records?.get(settlement.key);
		if (records === undefined || known?.report.claimId !== settlement.claimId || known.report.outcome !== undefined) {
			return;
		}

		if (settlement.outcome === Outcome.NotRun) {
			this._deleteRecord(records, settlement.key, known);
			return;
		}

		const bytes = settlement.answer?.body.length ?? 0;
		const canStore = this._storedBytes + bytes <= this._limits.responseBytes;
		this._storedBytes += canStore ? bytes : 0;
		records.set(settlement.key, {
			...known, report: {...known.report, outcome: settlement.outcome, answer: canStore ? settlement.answer : undefined},
		});
	}

	/** Returns what is stored for a key, or undefined when there is nothing. */
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

			this._deleteRecord(records, key, record);
		}

		return records;
	}

	private _deleteRecord(records: Map<string, KeyRecord>, key: string, record: KeyRecord): void {
		records.delete(key);
		this._keyCount--;
		this._storedBytes -= record.report.answer?.body.length ?? 0;
	}
}
