import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {projectRoot} from '../tools/site/project-root.js';

type Ended = {readonly code: number; readonly stdout: string};

/** Ends a tool that hangs before the test does, so that it can clean up. */
const limitMs = 50_000;

const runTool = async (file: string, args: readonly string[]): Promise<Ended> => new Promise(resolve => {
	const child = execFile(process.execPath, [path.join(projectRoot, 'dist/tools', file), ...args], {timeout: limitMs}, (_error, stdout) => {
		resolve({code: child.exitCode ?? -1, stdout});
	});
});

describe('the tools', () => {
	it.each([
		{
			file: 'load/rattansill-load.js', args: ['list'], code: 0, output: /^overhead /mv,
		},
		{
			file: 'load/rattansill-load.js', args: ['run', 'nothing'], code: 2, output: /^$/v,
		},
		{
			file: 'load/rattansill-load.js', args: ['run', 'overhead', '--site', 'elsewhere'], code: 1, output: /--site/v,
		},
		{
			file: 'demo/rattansill-demo.js', args: ['--help'], code: 0, output: /--keep/v,
		},
	])('$file $args ends with $code', async ({file, args, code, output}) => {
		const ended = await runTool(file, args);
		expect(ended.code).toBe(code);
		expect(ended.stdout).toMatch(output);
	});

	it.each([
		{site: 'wigroom', services: ['lacefront', 'chairbook', 'showvault', 'shadecard']},
		{site: 'urdaneta', services: ['catalogo', 'encargos', 'archivo', 'vientos']},
	])('shows the $site site with a row a service', async ({site, services}) => {
		const ended = await runTool('demo/rattansill-demo.js', ['--site', site]);
		expect(ended.code).toBe(0);
		for (const service of services) {
			expect(ended.stdout).toMatch(new RegExp(String.raw`^${service} +\d+ +\d+ +\d+ +\d+ +0 +0 `, 'mv'));
		}
	});
});
