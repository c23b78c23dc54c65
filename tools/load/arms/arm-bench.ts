import type {SiteName} from '../../site/site-name.js';
import type {SiteOptions} from '../../site/site-options.js';
import type {CallSample} from '../callers/call-sample.js';
import {LoadWorkerPool} from '../callers/load-worker-pool.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {ArmName} from './arm-name.js';
import {ArmSamples} from './arm-samples.js';
import {ArmSite} from './arm-site.js';
import type {SlicePlan} from './slice-plan.js';

const loadWorkerCount = 4;

/** Starts the arms of an experiment and collects their samples by name. */
export class ArmBench {
	private readonly _workerPool: LoadWorkerPool;
	private readonly _results = new Map<string, ArmSamples>();

	constructor(private readonly _context: ExperimentContext) {
		this._workerPool = _context.store.add(new LoadWorkerPool(loadWorkerCount));
	}

	/** All samples collected so far, in the order in which their names were first used. */
	get results(): readonly ArmSamples[] {
		return [...this._results.values()];
	}

	/** Starts one site per arm, each with its own targets and instances. */
	async startArms(siteName: SiteName, armNames: readonly ArmName[], site?: Partial<SiteOptions>): Promise<readonly ArmSite[]> {
		const arms: ArmSite[] = [];
		for (const arm of armNames) {
			const armSite = new ArmSite({
				arm, siteName, context: this._context, workerPool: this._workerPool, site,
			});
			await armSite.start();
			arms.push(armSite);
		}

		return arms;
	}

	/** Runs a slice and adds its samples and processor time to those of a name; resolves with the samples of this slice. */
	async measureSlice(arm: ArmSite, name: string, slice: SlicePlan): Promise<readonly CallSample[]> {
		const results = this.getSamples(name);
		const cpuBefore = await arm.readCpuMs();
		const samples = await arm.runSlice(slice);
		results.cpuMs += await arm.readCpuMs() - cpuBefore;
		results.add(samples, slice.workloads);
		return samples;
	}

	/** Gets the samples collected under a name, empty on first use. */
	getSamples(name: string): ArmSamples {
		const results = this._results.get(name) ?? new ArmSamples(name);
		this._results.set(name, results);
		return results;
	}
}
