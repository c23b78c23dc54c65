import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import {WorkerProcess} from '../../process/worker-process.js';
import type {RunRecord} from './run-record.js';
import {StandInTarget} from './stand-in-target.js';
import type {StandInTargetOptions} from './stand-in-target-options.js';
import type {TargetBehavior} from './target-behavior.js';
import type {TargetCommand} from './target-command.js';
import {TargetCommandKind} from './target-command-kind.js';
import type {TargetStats} from './target-stats.js';

const loopback = '127.0.0.1';

/** All stand-in targets of a site, either in this process or distributed over worker processes. */
export class TargetFleet implements DisposableLike {
	/** Targets that run in this process, by id. */
	readonly localTargets = new Map<string, StandInTarget>();
	private readonly _store = new DisposableStore();
	private readonly _workers: Array<WorkerProcess<TargetCommand>> = [];

	/** @param workerCount - Number of worker processes; 0 runs the targets in this process. */
	constructor(workerCount: number) {
		for (let index = 0; index < workerCount; index++) {
			this._workers.push(this._store.add(new WorkerProcess<TargetCommand>('tools/standins/target/target-worker.js')));
		}
	}

	/** Process ids of the workers. */
	get pids(): readonly number[] {
		return this._workers.flatMap(worker => worker.pid ?? []);
	}

	/** Starts targets and resolves with their ports by id. */
	async start(targets: readonly StandInTargetOptions[]): Promise<ReadonlyMap<string, number>> {
		const ports = new Map<string, number>();
		if (this._workers.length === 0) {
			for (const options of targets) {
				const target = this._store.add(new StandInTarget(options));
				await target.listener.listen({host: loopback, port: 0});
				this.localTargets.set(options.id, target);
				ports.set(options.id, target.listener.port);
			}

			return ports;
		}

		const portMaps = await Promise.all(this._workers.map(async (worker, index) => worker.run<Record<string, number>>({
			kind: TargetCommandKind.Start, targets: targets.filter((_, position) => position % this._workers.length === index),
		})));
		for (const [id, port] of portMaps.flatMap(portMap => Object.entries(portMap))) {
			ports.set(id, port);
		}

		return ports;
	}

	/** Changes the behavior of the given targets; an empty list selects all. */
	async setBehavior(targets: readonly string[], change: Partial<TargetBehavior>): Promise<void> {
		for (const target of this.localTargets.values()) {
			if (targets.length === 0 || targets.includes(target.id)) {
				target.setBehavior(change);
			}
		}

		await this._runAll({kind: TargetCommandKind.SetBehavior, targets, change});
	}

	/** Reads the statistics of all targets. */
	async readStats(): Promise<readonly TargetStats[]> {
		const remote = await this._runAll<TargetStats[]>({kind: TargetCommandKind.ReadStats});
		return [...[...this.localTargets.values()].map(target => target.stats), ...remote.flat()];
	}

	/** Reads the request records of all targets. */
	async readRecords(): Promise<readonly RunRecord[]> {
		const remote = await this._runAll<RunRecord[]>({kind: TargetCommandKind.ReadRecords});
		return [...[...this.localTargets.values()].flatMap(target => target.records), ...remote.flat()];
	}

	/** Removes the request records of all targets. */
	async clearLedgers(): Promise<void> {
		for (const target of this.localTargets.values()) {
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
