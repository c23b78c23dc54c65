import process from 'node:process';
import {productVersion} from '../common/product-version.js';
import {describeFailure} from './describe-failure.js';
import {SynchronousLogger} from './synchronous-logger.js';

const msPerSecond = 1000;

/**
Logs that the process starts, the cause when an exception or a rejected promise ends it, and its exit code. A log without the last line
means that the process was ended from outside or by Node.js itself.
@param stream - Standard output or standard error, whichever is collected.
*/
export const reportProcessEnd = (stream: NodeJS.WriteStream & {readonly fd: number}, component: string): void => {
	const logger = new SynchronousLogger(stream, component);
	logger.logInfo('process-starting', {version: productVersion, node: process.version, architecture: process.arch});
	// The monitor leaves to Node.js what follows: it prints the exception on standard error and ends the process with code 1.
	process.on('uncaughtExceptionMonitor', (error, origin) => {
		logger.logError('process-failed', {origin, ...describeFailure(error)});
	});
	process.on('exit', exitCode => {
		logger.logInfo('process-ended', {exitCode, uptimeMs: Math.round(process.uptime() * msPerSecond)});
	});
};
