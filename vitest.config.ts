import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'tools/**/*.test.ts', 'test/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Integration tests start several processes each; four files at a time leave them processor time.
		maxWorkers: 4,
		reporters: ['default'],
	},
});
