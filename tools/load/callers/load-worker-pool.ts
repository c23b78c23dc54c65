import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import {WorkerProcess} from '../../process/worker-process.js';
import type {CallSample} from './call-sample.js';
import type {LoadPlan} from './load-plan.js';

/** A fixed number of worker processes that generate load. */
export class LoadWorkerPool implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _workers: Array<WorkerProcess<LoadPlan>> = [];

	/** @param workerCount - Number of worker processes. */
	constructor(workerCount: number) {
		for (let index = 0; index < workerCount; index++) {
			this._workers.push(this._store.add(new WorkerProcess<LoadPlan>('tools/load/callers/load-worker.js')));
		}
	}

	/** Process ids of the workers. */
	get pids(): readonly number[] {
		return this._workers.flatMap(worker => worker.pid ?? []);
	}

	/** Runs loads in parallel, distributed round robin over the workers. Resolves with the samples of all loads once every request has ended. */
	async run(plans: readonly LoadPlan[]): Promise<readonly CallSample[]> {
		const parts = await Promise.all(plans.map(async (plan, index) => this._workers[index % this._workers.length]!.run<readonly CallSample[]>(plan)));
		return parts.flat();
	}

	dispose(): void {
		this._store.dispose();
	}
}
