import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';
import {describeFailure} from './describe-failure.js';

type TaskContext = {
	readonly logger: Pick<Logger, 'logError'>;
	readonly metrics: Pick<Metrics, 'countEvent'>;
};

/** Logs and counts an exception that has ended a piece of work. */
export const reportTaskFailure = ({logger, metrics}: TaskContext, task: string, error: unknown): void => {
	logger.logError('task-failed', {task, ...describeFailure(error)});
	metrics.countEvent('task.failures', {task});
};
