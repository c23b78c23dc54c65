import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, it} from 'vitest';
import {projectRoot} from '../tools/site/project-root.js';

const page = readFileSync(path.join(projectRoot, 'docs/OBSERVABILITY.md'), 'utf8');
const readSources = (folder: string): string[] => readdirSync(path.join(projectRoot, folder), {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))
	.map(file => readFileSync(path.join(projectRoot, folder, file), 'utf8'));
const source = [...readSources('src'), ...readSources('platform')].join('\n');

const listNamesInSource = (pattern: RegExp): string[] => [...new Set([...source.matchAll(pattern)].map(match => match.groups?.name ?? ''))].sort();
const listNamesInPage = (heading: string): string[] => {
	const section = page.split(`## ${heading}\n`)[1]?.split('\n## ')[0] ?? '';
	return [...section.matchAll(/^\| `(?<name>[^`]+)`/gmv)].map(match => match.groups?.name ?? '').sort();
};

it.each([
	{heading: 'Logs', pattern: /\.log(?:Error|Info|Debug)\(\s*'(?<name>[^']+)'/gv},
	{heading: 'Metrics', pattern: /\.(?:countEvent|recordGauge|recordDuration)\(\s*'(?<name>[^']+)'/gv},
	{heading: 'Traces', pattern: /(?:startSpan|startChild)\(\s*'(?<name>[^']+)'/gv},
])('docs/OBSERVABILITY.md lists under "$heading" exactly the names that the code emits', ({heading, pattern}) => {
	expect(listNamesInPage(heading)).toEqual(listNamesInSource(pattern));
});
