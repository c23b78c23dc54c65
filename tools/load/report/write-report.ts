import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {parse, View} from 'vega';
import {compile} from 'vega-lite';
import type {ExperimentResult} from './experiment-result.js';
import {formatTable} from './format-table.js';
import type {Plot} from './plot.js';

const escapeHtml = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const renderPlot = async (plot: Plot): Promise<string> => {
	const view = new View(parse(compile(plot.spec).spec), {renderer: 'none'});
	const svg = await view.toSVG();
	view.finalize();
	return `<h2>${escapeHtml(plot.title)}</h2>\n${svg}\n`;
};

/** Writes the notes, tables and plots of an experiment to an HTML page; resolves with the path of the file. */
export const writeReport = async (folder: string, experiment: string, seed: number, result: ExperimentResult): Promise<string> => {
	const plots = await Promise.all((result.plots ?? []).map(async plot => renderPlot(plot)));
	const page = [
		'<!doctype html>',
		`<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(experiment)}</title></head><body>`,
		`<h1>${escapeHtml(experiment)}, seed ${seed}</h1>`,
		...(result.notes ?? []).map(note => `<p>${escapeHtml(note)}</p>`),
		`<pre>${escapeHtml(formatTable(result.arms))}</pre>`,
		`<pre>${escapeHtml(formatTable(result.checks))}</pre>`,
		...plots,
		'</body></html>',
	].join('\n');
	await mkdir(folder, {recursive: true});
	const file = path.join(folder, `${experiment}-${seed}.html`);
	await writeFile(file, page);
	return file;
};
