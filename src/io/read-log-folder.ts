import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import type {LoggedEvent} from '../common/logged-event.js';

const parseLine = (line: string): LoggedEvent | undefined => {
	const jsonStart = line.indexOf('{');
	if (jsonStart === -1) {
		return undefined;
	}

	try {
		const value = JSON.parse(line.slice(jsonStart)) as Partial<LoggedEvent>;
		return typeof value.time === 'string' && typeof value.instance === 'string' && typeof value.event === 'string' ? value as LoggedEvent : undefined;
	} catch {
		return undefined;
	}
};

/** Reads the events from all log files of a folder, sorted by time. Text before the JSON of an event is skipped, and lines without an event, such as truncated ones, are ignored. */
export const readLogFolder = (folder: string): LoggedEvent[] => readdirSync(folder, {withFileTypes: true})
	.filter(entry => entry.isFile())
	.flatMap(entry => readFileSync(path.join(folder, entry.name), 'utf8').split('\n'))
	.flatMap(line => parseLine(line) ?? [])
	.sort((a, b) => a.time < b.time ? -1 : Number(a.time > b.time));
