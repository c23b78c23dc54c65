import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {ErrorKind} from '../common/error-kind.js';
import {Outcome} from '../common/outcome.js';
import {RequestError} from '../common/request-error.js';
import {convertError} from './convert-error.js';
import {hasStatedEnd} from './has-stated-end.js';
import {OutcomeLedger} from './outcome-ledger.js';
import {TryInput} from './try-input.js';
import type {TryRecord} from './try-record.js';
import {AttemptStage} from './attempt-stage.js';

type Item = {readonly record: TryRecord; hasWritten: boolean; hasRun: boolean; hasRefused: boolean};

const sendBytes = (item: Item, isRun: boolean) => {
	// A target may receive bytes, and run the request, even after the attempt was abandoned here.
	if (item.record.stage === AttemptStage.Dispatched || (item.hasWritten && !item.hasRefused)) {
		item.hasWritten = true;
		item.hasRun ||= isRun;
	}
};

const applyAt = (item: Item, stages: readonly AttemptStage[], input: TryInput) => {
	if (stages.includes(item.record.stage)) {
		item.record.apply(input);
	}
};

/** Events of one attempt; the item tracks what reached the target, whereas the ledger knows only what was observed locally. */
const steps = {
	connect(item: Item) {
		applyAt(item, [AttemptStage.Queued], TryInput.Connect);
	},
	connectFailed(item: Item) {
		applyAt(item, [AttemptStage.Connecting], TryInput.GiveUp);
	},
	dispatch(item: Item) {
		applyAt(item, [AttemptStage.Connecting], TryInput.Dispatch);
	},
	partial(item: Item) {
		sendBytes(item, false);
	},
	run(item: Item) {
		sendBytes(item, true);
	},
	refuse(item: Item) {
		if (item.record.stage === AttemptStage.Responding && !item.hasRun) {
			item.record.apply(TryInput.Refused);
			item.hasRefused = true;
		}
	},
	head(item: Item) {
		if (item.hasWritten) {
			applyAt(item, [AttemptStage.Dispatched], TryInput.AnswerStarted);
		}
	},
	whole(item: Item) {
		if (item.hasRun) {
			applyAt(item, [AttemptStage.Responding, AttemptStage.Settled], TryInput.AnswerWhole);
		}
	},
	cut(item: Item) {
		applyAt(item, [AttemptStage.Responding, AttemptStage.Settled], TryInput.Lost);
	},
	cancel(item: Item) {
		const isBefore = item.record.stage === AttemptStage.Queued || item.record.stage === AttemptStage.Connecting;
		const afterDispatch = item.hasWritten ? TryInput.Lost : TryInput.Unwritten;
		item.record.apply(isBefore ? TryInput.GiveUp : afterDispatch);
	},
};

describe('OutcomeLedger', () => {
	it.each([{isIdempotent: true}, {isIdempotent: false}])('reports no false outcome for any interleaving, idempotent $isIdempotent', ({isIdempotent}) => {
		// The steps of a successful attempt are drawn more often than failures, so that several attempts reach a target.
		const ordinary = ['begin', 'connect', 'dispatch', 'run', 'head'] as const;
		const name = fc.oneof({weight: 3, arbitrary: fc.constantFrom(...ordinary)}, {weight: 1, arbitrary: fc.constantFrom(...Object.keys(steps) as Array<keyof typeof steps>)});
		const stepArbitrary = fc.record({name, pick: fc.nat(3)});
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 40, maxLength: 100}), script => {
			const items: Item[] = [];
			const ledger = new OutcomeLedger();
			for (const {name, pick} of script) {
				const record = name === 'begin' ? ledger.beginTry(isIdempotent) : undefined;
				const item = items[pick % Math.max(1, items.length)];
				if (record !== undefined) {
					items.push({
						record, hasWritten: false, hasRun: false, hasRefused: false,
					});
				} else if (name !== 'begin' && item !== undefined) {
					steps[name](item);
				}

				const runs = items.filter(each => each.hasRun).length;
				const seen = items.filter(each => each.hasWritten && !each.hasRefused).length;
				expect(ledger.outcome === Outcome.NotRun && runs + seen > 0, 'a false "not run"').toBe(false);
				expect(ledger.outcome === Outcome.Ran && runs === 0, 'a false "ran"').toBe(false);
				expect(!isIdempotent && runs > 1, 'a second run').toBe(false);
			}
		}), {seed: 5, numRuns: 300});
	});

	it.each([
		{stages: [] as TryInput[], outcome: Outcome.NotRun},
		{stages: [TryInput.Connect], outcome: Outcome.NotRun},
		{stages: [TryInput.Connect, TryInput.GiveUp], outcome: Outcome.NotRun},
		{stages: [TryInput.Connect, TryInput.Dispatch], outcome: Outcome.Unknown},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.Unwritten], outcome: Outcome.NotRun},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.Lost], outcome: Outcome.Unknown},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.AnswerStarted], outcome: Outcome.Unknown},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.AnswerStarted, TryInput.Refused], outcome: Outcome.NotRun},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.AnswerStarted, TryInput.Lost], outcome: Outcome.Unknown},
		{stages: [TryInput.Connect, TryInput.Dispatch, TryInput.AnswerStarted, TryInput.AnswerWhole, TryInput.Lost], outcome: Outcome.Ran},
	])('states $outcome after $stages', ({stages, outcome}) => {
		const ledger = new OutcomeLedger();
		const record = ledger.beginTry(false);
		for (const input of stages) {
			record?.apply(input);
		}

		expect(ledger.outcome).toBe(outcome);
	});

	it('throws on an input that cannot occur', () => {
		expect(() => new OutcomeLedger().beginTry(false)?.apply(TryInput.AnswerWhole)).toThrow('cannot take');
	});
});

describe('alignErrorWithOutcome', () => {
	it.each([
		{kind: ErrorKind.DeadlineExpiredDispatched, outcome: Outcome.NotRun, told: ErrorKind.DeadlineExpiredQueued},
		{kind: ErrorKind.DeadlineExpiredQueued, outcome: Outcome.Unknown, told: ErrorKind.DeadlineExpiredDispatched},
		{kind: ErrorKind.QueueFull, outcome: Outcome.Unknown, told: ErrorKind.ConnectionLost},
		{kind: ErrorKind.TargetRefused, outcome: Outcome.NotRun, told: ErrorKind.TargetRefused},
		{kind: ErrorKind.KeyUnvouched, outcome: Outcome.NotRun, told: ErrorKind.KeyUnvouched},
		{kind: ErrorKind.InternalQueued, outcome: Outcome.Ran, told: ErrorKind.InternalDispatched},
	])('returns $told for $kind when the outcome of the ledger is $outcome', ({kind, outcome, told}) => {
		expect(convertError(new RequestError(kind, 'x'), outcome).kind).toBe(told);
	});
});

describe('hasDelimitedBody', () => {
	it.each([
		{
			method: 'GET', status: 200, headers: ['Content-Length', '5'], expected: true,
		},
		{
			method: 'GET', status: 200, headers: ['transfer-encoding', 'Chunked'], expected: true,
		},
		{
			method: 'GET', status: 200, headers: ['X', 'content-length'], expected: false,
		},
		{
			method: 'GET', status: 204, headers: [], expected: true,
		},
		{
			method: 'GET', status: 304, headers: [], expected: true,
		},
		{
			method: 'HEAD', status: 200, headers: [], expected: true,
		},
	])('$method $status $headers: $expected', ({method, status, headers, expected}) => {
		expect(hasStatedEnd(method, status, headers)).toBe(expected);
	});
});
