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

describe('RateLimitedLogger', () => {
	it('limits the lines of each event per second and reports how many were omitted', () => {
		const {lines, logger} = createLog();
		let now = 0;
		const limitedLogger = new RateLimitedLogger({logger, clock: {now: () => now}, linesPerSecond: 3});
		for (let index = 0; index < 10_000; index++) {
			limitedLogger.logInfo('flood');
		}

		limitedLogger.logError('rare');
		expect(lines.filter(({event}) => event === 'flood')).toHaveLength(3);
		expect(lines.filter(({event}) => event === 'rare')).toHaveLength(1);
		now = 1000;
		limitedLogger.logInfo('flood', {a: 1});
		expect(lines.at(-1)?.fields).toEqual({a: 1, omittedLines: 9997});
		limitedLogger.logInfo('flood');
		expect(lines.at(-1)?.fields).toEqual({});
	});
});
