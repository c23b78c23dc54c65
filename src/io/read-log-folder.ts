import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import type {LoggedEvent} from '../common/logged-event.js';

const parseLine = (line: string): LoggedEvent | undefined => {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const value = JSON.parse(line.slice(start)) as Partial<LoggedEvent>;
		return typeof value.time === 'string' && typeof value.instance === 'string' && typeof value.event === 'string' ? value as LoggedEvent : undefined;
	} catch {
		return undefined;
	}
};

/** Reads the events of all files of a folder, in the order of their times; lines that are none, such as cut ones, are left out. What stands before an event on its line is skipped. */
export const readLogFolder = (folder: string): LoggedEvent[] => readdirSync(folder, {withFileTypes: true})
	.filter(entry => entry.isFile())
	.flatMap(entry => readFileSync(path.join(folder, entry.name), 'utf8').split('\n'))
	.flatMap(line => parseLine(line) ?? [])
	.sort((a, b) => a.time < b.time ? -1 : Number(a.time > b.time));
