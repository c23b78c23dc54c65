import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {z} from 'zod';
import type {entrySettingsSchema} from '../../src/common/entry-settings-schema.js';
import type {DisposableLike} from '../../src/common/disposable-like.js';
import {projectRoot} from './project-root.js';

type Settings = z.input<typeof entrySettingsSchema>;

const startTimeoutMs = 20_000;

/** A child process that runs the compiled `rattansill-entry` with a temporary settings file and collects its log. */
export class EntryProcess implements DisposableLike {
	/** Non-empty JSON lines that the process wrote to standard error. */
	readonly logLines: string[] = [];
	private readonly _folder = mkdtempSync(path.join(tmpdir(), 'rattansill-'));
	private _child: ChildProcess | undefined;
	private _exit: Promise<number | undefined> = Promise.resolve(undefined);

	constructor(readonly settings: Settings) {}

	/** Process id; undefined while the process does not run. */
	get pid(): number | undefined {
		const child = this._child;
		return child?.exitCode === null && child.signalCode === null ? child.pid : undefined;
	}

	/** Starts the process; resolves once it has logged `entry-started`, rejects when it exits first or takes longer than 20 s. */
	async start(): Promise<void> {
		const file = path.join(this._folder, 'entry.json');
		writeFileSync(file, JSON.stringify(this.settings));
		const child = spawn(process.execPath, [path.join(projectRoot, 'dist/src/bin/rattansill-entry.js'), '--settings', file], {stdio: ['ignore', 'ignore', 'pipe']});
		this._child = child;
		this._exit = new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
		await new Promise<void>((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`entry ${this.settings.instance.id} did not start within ${startTimeoutMs} ms`));
			}, startTimeoutMs);
			child.once('exit', code => {
				clearTimeout(timer);
				reject(new Error(`entry ${this.settings.instance.id} exited with code ${code}: ${this.logLines.join('\n')}`));
			});
			child.stderr.setEncoding('utf8').on('data', (text: string) => {
				this.logLines.push(...text.split('\n').filter(line => line !== ''));
				if (text.includes('"entry-started"')) {
					clearTimeout(timer);
					resolve();
				}
			});
		});
	}

	/** Sends a signal and resolves with the exit code once the process has exited; undefined when a signal terminated it. */
	async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | undefined> {
		this._child?.kill(signal);
		return this._exit;
	}

	/** Sends a signal without waiting for the process to exit. */
	sendSignal(signal: NodeJS.Signals): void {
		this._child?.kill(signal);
	}

	dispose(): void {
		this._child?.kill('SIGKILL');
		rmSync(this._folder, {recursive: true, force: true});
	}
}
