import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {ErrorKind} from '../common/error-kind.js';
import {Outcome} from '../common/outcome.js';
import {RequestError} from '../common/request-error.js';
import {alignErrorWithOutcome} from './align-error-with-outcome.js';
import {hasDelimitedBody} from './has-delimited-body.js';
import {OutcomeLedger} from './outcome-ledger.js';
import {AttemptInput} from './attempt-input.js';
import type {AttemptRecord} from './attempt-record.js';
import {AttemptStage} from './attempt-stage.js';

type Item = {readonly record: AttemptRecord; hasWritten: boolean; hasRun: boolean; hasRefused: boolean};

const sendBytes = (item: Item, isRun: boolean) => {
	// A target may receive bytes, and run the request, even after the attempt was abandoned here.
	if (item.record.stage === AttemptStage.Dispatched || (item.hasWritten && !item.hasRefused)) {
		item.hasWritten = true;
		item.hasRun ||= isRun;
	}
};

const applyAt = (item: Item, stages: readonly AttemptStage[], input: AttemptInput) => {
	if (stages.includes(item.record.stage)) {
		item.record.apply(input);
	}
};

/** Events of one attempt; the item tracks what reached the target, whereas the ledger knows only what was observed locally. */
const steps = {
	connect(item: Item) {
		applyAt(item, [AttemptStage.Queued], AttemptInput.Connect);
	},
	connectFailed(item: Item) {
		applyAt(item, [AttemptStage.Connecting], AttemptInput.Abandon);
	},
	dispatch(item: Item) {
		applyAt(item, [AttemptStage.Connecting], AttemptInput.Dispatch);
	},
	partial(item: Item) {
		sendBytes(item, false);
	},
	run(item: Item) {
		sendBytes(item, true);
	},
	refuse(item: Item) {
		if (item.record.stage === AttemptStage.Responding && !item.hasRun) {
			item.record.apply(AttemptInput.Refused);
			item.hasRefused = true;
		}
	},
	head(item: Item) {
		if (item.hasWritten) {
			applyAt(item, [AttemptStage.Dispatched], AttemptInput.ResponseStarted);
		}
	},
	whole(item: Item) {
		if (item.hasRun) {
			applyAt(item, [AttemptStage.Responding, AttemptStage.Settled], AttemptInput.ResponseComplete);
		}
	},
	cut(item: Item) {
		applyAt(item, [AttemptStage.Responding, AttemptStage.Settled], AttemptInput.Lost);
	},
	cancel(item: Item) {
		const isBefore = item.record.stage === AttemptStage.Queued || item.record.stage === AttemptStage.Connecting;
		const afterDispatch = item.hasWritten ? AttemptInput.Lost : AttemptInput.Unwritten;
		item.record.apply(isBefore ? AttemptInput.Abandon : afterDispatch);
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
				const record = name === 'begin' ? ledger.beginAttempt(isIdempotent) : undefined;
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
		{stages: [] as AttemptInput[], outcome: Outcome.NotRun},
		{stages: [AttemptInput.Connect], outcome: Outcome.NotRun},
		{stages: [AttemptInput.Connect, AttemptInput.Abandon], outcome: Outcome.NotRun},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch], outcome: Outcome.Unknown},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.Unwritten], outcome: Outcome.NotRun},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.Lost], outcome: Outcome.Unknown},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.ResponseStarted], outcome: Outcome.Unknown},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.ResponseStarted, AttemptInput.Refused], outcome: Outcome.NotRun},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.ResponseStarted, AttemptInput.Lost], outcome: Outcome.Unknown},
		{stages: [AttemptInput.Connect, AttemptInput.Dispatch, AttemptInput.ResponseStarted, AttemptInput.ResponseComplete, AttemptInput.Lost], outcome: Outcome.Ran},
	])('states $outcome after $stages', ({stages, outcome}) => {
		const ledger = new OutcomeLedger();
		const record = ledger.beginAttempt(false);
		for (const input of stages) {
			record?.apply(input);
		}

		expect(ledger.outcome).toBe(outcome);
	});

	it('throws on an input that cannot occur', () => {
		expect(() => new OutcomeLedger().beginAttempt(false)?.apply(AttemptInput.ResponseComplete)).toThrow('cannot take');
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
		expect(alignErrorWithOutcome(new RequestError(kind, 'x'), outcome).kind).toBe(told);
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
		expect(hasDelimitedBody(method, status, headers)).toBe(expected);
	});
});
