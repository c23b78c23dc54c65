import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {projectRoot} from '../tools/site/project-root.js';

type ToolResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** Shorter than the test timeout, so that a tool that hangs is stopped and can clean up. */
const toolTimeoutMs = 50_000;

const runTool = async (file: string, args: readonly string[]): Promise<ToolResult> => new Promise(resolve => {
	const child = execFile(process.execPath, [path.join(projectRoot, 'dist/tools', file), ...args], {timeout: toolTimeoutMs}, (_error, stdout, stderr) => {
		resolve({code: child.exitCode ?? -1, stdout, stderr});
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
			file: 'load/rattansill-load.js', args: ['run', 'overhead', '--site', 'elsewhere'], code: 2, output: /^$/v, errors: /--site/v,
		},
		{
			file: 'demo/rattansill-demo.js', args: ['--help'], code: 0, output: /--keep/v,
		},
	])('$file $args exits with $code', async ({file, args, code, output, errors = /(?:)/v}) => {
		const result = await runTool(file, args);
		expect(result.code).toBe(code);
		expect(result.stdout).toMatch(output);
		expect(result.stderr).toMatch(errors);
	});

	it.each([
		{site: 'wigroom', services: ['lacefront', 'chairbook', 'showvault', 'shadecard']},
		{site: 'urdaneta', services: ['catalogo', 'encargos', 'archivo', 'vientos']},
	])('shows the $site site with a row a service', async ({site, services}) => {
		const result = await runTool('demo/rattansill-demo.js', ['--site', site]);
		expect(result.code).toBe(0);
		for (const service of services) {
			expect(result.stdout).toMatch(new RegExp(String.raw`^${service} +\d+ +\d+ +\d+ +\d+ +0 +0 `, 'mv'));
		}
	});
});
