import {describe, expect, it} from 'vitest';
import type {Logger} from '../../common/logger.js';
import {RateLimitedLogger} from './rate-limited-logger.js';

const createLog = () => {
	const lines: Array<{event: string; fields: Readonly<Record<string, unknown>> | undefined}> = [];
	const write = (event: string, fields?: Readonly<Record<string, unknown>>) => {
		lines.push({event, fields});
	};

	const logger: Logger = {logError: write, logInfo: write, logDebug: write};
	return {lines, logger};
};

describe('BoundedLogger', () => {
	it('limits the lines of each event per second and reports how many were omitted', () => {
		const {lines, logger} = createLog();
		let now = 0;
		const bounded = new RateLimitedLogger({logger, clock: {now: () => now}, linesPerSecond: 3});
		for (let index = 0; index < 10_000; index++) {
			bounded.logInfo('flood');
		}

		bounded.logError('rare');
		expect(lines.filter(({event}) => event === 'flood')).toHaveLength(3);
		expect(lines.filter(({event}) => event === 'rare')).toHaveLength(1);
		now = 1000;
		bounded.logInfo('flood', {a: 1});
		expect(lines.at(-1)?.fields).toEqual({a: 1, omittedLines: 9997});
		bounded.logInfo('flood');
		expect(lines.at(-1)?.fields).toEqual({});
	});
});
