import {setImmediate as waitForTurn} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {IntakeController} from './intake-controller.js';

describe('IntakeController', () => {
	let now = 0;
	let intake: IntakeController;
	let ended: string[] = [];

	const enter = async (name: string, signal = new AbortController().signal): Promise<void> => {
		const entered = await intake.enter(signal);
		ended.push(entered.isOk() ? name : `${name} ${entered.error.kind}`);
	};

	const endTurn = async (turnMs: number): Promise<void> => {
		now += turnMs;
		await waitForTurn();
	};

	beforeEach(() => {
		now = 0;
		ended = [];
		intake = new IntakeController({clock: {now: () => now}, random: () => 0, metrics: disabledMetrics});
	});
	afterEach(() => {
		intake.dispose();
	});

	it('starts a request at once when no others wait', async () => {
		await enter('a');
		expect(ended).toEqual(['a']);
	});

	it.each([
		{
			case: 'no connection was accepted', accepted: 0, turns: 1, started: ['a'],
		},
		{
			case: 'connections were accepted in one turn', accepted: 1, turns: 2, started: ['a'],
		},
		{
			case: 'connections were accepted in each turn, for less than 80 ms', accepted: 10, turns: 10, started: [],
		},
		{
			case: 'connections were accepted in each turn for longer', accepted: 16, turns: 16, started: ['a'],
		},
	])('delays starts while connections wait to be accepted: $case', async ({accepted, turns, started}) => {
		if (accepted > 0) {
			intake.noteConnection();
		}

		void enter('a');
		for (let turn = 1; turn <= turns; turn++) {
			await endTurn(6);
			if (turn < accepted) {
				intake.noteConnection();
			}
		}

		await Promise.resolve();
		expect(ended).toEqual(started);
	});

	it('starts the newest requests first, and a limited number a turn', async () => {
		for (let index = 0; index < 40; index++) {
			void enter(String(index));
		}

		await endTurn(0);
		expect(ended).toEqual([...Array.from({length: 16}, (_item, index) => String(index)), ...Array.from({length: 16}, (_item, index) => String(39 - index))]);
		await endTurn(0);
		expect(ended).toHaveLength(40);
	});

	it('refuses a request as not run when it has waited for more than 100 ms without being started', async () => {
		for (let index = 0; index < 60; index++) {
			void enter(String(index));
		}

		await endTurn(101);
		expect(ended.filter(end => end.endsWith(ErrorKind.Overloaded))).toHaveLength(60 - 16 - 8);
		expect(intake.waitingCount).toBe(0);
	});

	it('ends a waiting request with the reason of its signal when the caller disconnects', async () => {
		const left = new AbortController();
		intake.noteConnection();
		void enter('a', left.signal);
		left.abort(new RequestError(ErrorKind.CallerGone, 'left'));
		await endTurn(1);
		await endTurn(1);
		expect(ended).toEqual([`a ${ErrorKind.CallerGone}`]);
	});
});
