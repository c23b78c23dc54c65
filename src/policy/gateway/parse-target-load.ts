import type {TargetLoad} from '../../common/gateway/target-load.js';

const usualPercent = 100;

/** Parses a load report of the form `running,waiting,slots,percent`, where percent is the duration relative to the usual one and may be missing; undefined when it is invalid. */
export const parseTargetLoad = (text: string | undefined): TargetLoad | undefined => {
	const figures = (text ?? '').split(',').map(part => part.trim() === '' ? Number.NaN : Number(part));
	const [running = Number.NaN, waiting = Number.NaN, slots = Number.NaN, percent = usualPercent] = figures;
	const isValid = [running, waiting, slots, percent].every(figure => Number.isFinite(figure) && figure >= 0) && slots > 0 && percent > 0;
	return isValid
		? {
			running, waiting, slots, slowdown: percent / usualPercent,
		}
		: undefined;
};
