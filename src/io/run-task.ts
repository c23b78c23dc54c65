import {reportTaskFailure} from './report-task-failure.js';

/**
Runs work whose result nobody waits for. An exception ends that work only: it is logged and counted under the name of the task. Never
rejects; resolves with whether the work ended without an exception.
*/
export const runTask = async (context: Parameters<typeof reportTaskFailure>[0], task: string, work: () => unknown): Promise<boolean> => {
	try {
		await work();
		return true;
	} catch (error) {
		reportTaskFailure(context, task, error);
		return false;
	}
};
