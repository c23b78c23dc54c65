import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'tools/**/*.test.ts', 'test/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Each integration test file starts several processes, so the number of parallel files is limited to leave them CPU time.
		maxWorkers: 4,
		reporters: ['default'],
	},
});
