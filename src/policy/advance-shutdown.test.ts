import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {advanceShutdown} from './advance-shutdown.js';
import {ShutdownInput} from './shutdown-input.js';
import {ShutdownPhase} from './shutdown-phase.js';

const listPhases = (inputs: readonly ShutdownInput[]): ShutdownPhase[] => {
	let phase = ShutdownPhase.Running;
	return inputs.map(input => {
		phase = advanceShutdown(phase, input);
		return phase;
	});
};

describe('advanceShutdown', () => {
	it.each([
		{inputs: [ShutdownInput.Idle, ShutdownInput.RoutesExpired], phase: ShutdownPhase.Running},
		{inputs: [ShutdownInput.Signal, ShutdownInput.Idle], phase: ShutdownPhase.Announced},
		{inputs: [ShutdownInput.Signal, ShutdownInput.RoutesExpired], phase: ShutdownPhase.Finishing},
		{inputs: [ShutdownInput.Signal, ShutdownInput.RoutesExpired, ShutdownInput.Idle], phase: ShutdownPhase.Ended},
		{inputs: [ShutdownInput.Signal, ShutdownInput.Signal, ShutdownInput.Idle], phase: ShutdownPhase.Ended},
		{inputs: [ShutdownInput.Signal, ShutdownInput.Signal, ShutdownInput.Signal], phase: ShutdownPhase.Aborting},
		{inputs: [ShutdownInput.Signal, ShutdownInput.LimitReached, ShutdownInput.Idle, ShutdownInput.Signal], phase: ShutdownPhase.Ended},
	])('is $phase after $inputs', ({inputs, phase}) => {
		expect(listPhases(inputs).at(-1)).toBe(phase);
	});

	it('never ends or aborts without a signal, and never aborts before a limit or a further signal', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom(ShutdownInput.Signal, ShutdownInput.RoutesExpired, ShutdownInput.Idle, ShutdownInput.LimitReached)), inputs => {
			const phases = listPhases(inputs);
			const abortedAt = phases.indexOf(ShutdownPhase.Aborting);
			const before = inputs.slice(0, abortedAt + 1);
			const signals = before.filter(input => input === ShutdownInput.Signal).length;
			expect(phases.includes(ShutdownPhase.Ended) && !inputs.includes(ShutdownInput.Signal)).toBe(false);
			expect(abortedAt === -1 || inputs[abortedAt] === ShutdownInput.LimitReached || signals >= 2).toBe(true);
		}), {seed: 7});
	});
});
