import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import {WorkerProcess} from '../../process/worker-process.js';
import type {RunRecord} from './run-record.js';
import {StandInTarget} from './stand-in-target.js';
import type {StandInTargetOptions} from './stand-in-target-options.js';
import type {TargetBehavior} from './target-behavior.js';
import type {TargetCommand} from './target-command.js';
import {TargetCommandKind} from './target-command-kind.js';
import type {TargetFigures} from './target-figures.js';

const loopback = '127.0.0.1';

/** All stand-in targets of a site, in this process or spread over worker processes, behind one interface. */
export class TargetFleet implements DisposableLike {
	/** Targets that run in this process. */
	readonly local = new Map<string, StandInTarget>();
	private readonly _store = new DisposableStore();
	private readonly _workers: Array<WorkerProcess<TargetCommand>> = [];

	/** @param workerCount - Worker processes; 0 keeps the targets in this process. */
	constructor(workerCount: number) {
		for (let index = 0; index < workerCount; index++) {
			this._workers.push(this._store.add(new WorkerProcess<TargetCommand>('tools/standins/target/target-worker.js')));
		}
	}

	/** Process ids of the workers. */
	get pids(): readonly number[] {
		return this._workers.flatMap(worker => worker.pid ?? []);
	}

	/** Starts targets; resolves with their ports by name. */
	async start(targets: readonly StandInTargetOptions[]): Promise<ReadonlyMap<string, number>> {
		const ports = new Map<string, number>();
		if (this._workers.length === 0) {
			for (const options of targets) {
				const target = this._store.add(new StandInTarget(options));
				await target.listener.listen({host: loopback, port: 0});
				this.local.set(options.id, target);
				ports.set(options.id, target.listener.port);
			}

			return ports;
		}

		const parts = await Promise.all(this._workers.map(async (worker, index) => worker.run<Record<string, number>>({
			kind: TargetCommandKind.Start, targets: targets.filter((_, position) => position % this._workers.length === index),
		})));
		for (const [id, port] of parts.flatMap(part => Object.entries(part))) {
			ports.set(id, port);
		}

		return ports;
	}

	/** Changes the behavior of the named targets, of all when none is named. */
	async setBehavior(targets: readonly string[], change: Partial<TargetBehavior>): Promise<void> {
		for (const target of this.local.values()) {
			if (targets.length === 0 || targets.includes(target.id)) {
				target.setBehavior(change);
			}
		}

		await this._runAll({kind: TargetCommandKind.SetBehavior, targets, change});
	}

	/** Reads what the targets counted. */
	async readFigures(): Promise<readonly TargetFigures[]> {
		const remote = await this._runAll<TargetFigures[]>({kind: TargetCommandKind.ReadFigures});
		return [...[...this.local.values()].map(target => target.figures), ...remote.flat()];
	}

	/** Reads what arrived at the targets and what became of it. */
	async readRecords(): Promise<readonly RunRecord[]> {
		const remote = await this._runAll<RunRecord[]>({kind: TargetCommandKind.ReadRecords});
		return [...[...this.local.values()].flatMap(target => target.records), ...remote.flat()];
	}

	/** Forgets the ledgers. */
	async clearLedgers(): Promise<void> {
		for (const target of this.local.values()) {
			target.clearLedger();
		}

		await this._runAll({kind: TargetCommandKind.ClearLedgers});
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _runAll<T>(command: TargetCommand): Promise<T[]> {
		return Promise.all(this._workers.map(async worker => worker.run<T>(command)));
	}
}
