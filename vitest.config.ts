import {defineConfig} from 'vitest/config';

/** Tests of memory and descriptors, which run one at a time after all others, so that nothing else takes processor time from the process. */
const aloneTests = ['platform/misbehaving-clients.test.ts'];

export default defineConfig({
	test: {
		testTimeout: 60_000,
		hookTimeout: 60_000,
		reporters: ['default'],
		projects: [
			{
				extends: true,
				test: {
					name: 'together',
					include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'tools/**/*.test.ts', 'test/**/*.test.ts'],
					exclude: aloneTests,
					// Each integration test file starts several processes, so the number of parallel files is limited to leave them CPU time.
					maxWorkers: 4,
					sequence: {groupOrder: 0},
				},
			},
			{
				extends: true,
				test: {
					name: 'alone',
					include: aloneTests,
					maxWorkers: 1,
					fileParallelism: false,
					sequence: {groupOrder: 1},
				},
			},
		],
	},
});
