import {fork, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import type {DisposableLike} from '../../src/common/disposable-like.js';
import {projectRoot} from '../site/project-root.js';

type Reply = {readonly id: number; readonly value: unknown};
type Pending = {readonly resolve: (value: unknown) => void; readonly reject: (error: Error) => void};

/** A worker process that runs commands sent over the IPC channel of `child_process.fork`. */
export class WorkerProcess<Command> implements DisposableLike {
	private readonly _child: ChildProcess;
	private readonly _pending = new Map<number, Pending>();
	private _nextId = 1;

	/** @param module - Path of the compiled module, relative to `dist`. */
	constructor(module: string) {
		this._child = fork(path.join(projectRoot, 'dist', module), {stdio: ['ignore', 'ignore', 'inherit', 'ipc'], execArgv: []});
		this._child.on('message', (reply: Reply) => {
			this._pending.get(reply.id)?.resolve(reply.value);
			this._pending.delete(reply.id);
		});
		this._child.once('exit', code => {
			for (const pending of this._pending.values()) {
				pending.reject(new Error(`worker ${module} exited with code ${code}`));
			}

			this._pending.clear();
		});
	}

	/** Process id; undefined when the process could not be started. */
	get pid(): number | undefined {
		return this._child.pid;
	}

	/** Runs a command in the worker and resolves with its result; rejects when the worker exits first. */
	async run<T>(command: Command): Promise<T> {
		const id = this._nextId++;
		return new Promise<T>((resolve, reject) => {
			this._pending.set(id, {
				resolve(value) {
					resolve(value as T);
				},
				reject,
			});
			this._child.send({id, command});
		});
	}

	dispose(): void {
		this._child.kill('SIGKILL');
	}
}
