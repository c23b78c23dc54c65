import {readdir, readFile} from 'node:fs/promises';
import type {ProcessUsage} from './process-usage.js';

const nanosecondsPerMs = 1e6;

const readRunTime = async (file: string): Promise<number> => {
	try {
		const text = await readFile(file, 'utf8');
		return Number(text.split(' ', 1)[0]) / nanosecondsPerMs;
	} catch {
		// The thread has ended since the directory was listed.
		return 0;
	}
};

/** Reads the processor time and memory of a process from /proc (Linux only). */
export const readProcessUsage = async (pid: number): Promise<ProcessUsage> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const times = await Promise.all(threads.map(async thread => readRunTime(`/proc/${pid}/task/${thread}/schedstat`)));
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const residentKb = Number(/^VmRSS:\s+(\d+) kB$/mv.exec(status)?.[1] ?? 0);
	return {cpuMs: times.reduce((sum, time) => sum + time, 0), residentBytes: residentKb * 1024};
};
