import {Site} from '../../site/site.js';
import type {SiteName} from '../../site/site-name.js';
import type {SiteOptions} from '../../site/site-options.js';
import {siteLayouts} from '../../site/site-layouts.js';
import type {CallSample} from '../callers/call-sample.js';
import type {LoadWorkerPool} from '../callers/load-worker-pool.js';
import type {LoadPlan} from '../callers/load-plan.js';
import type {ExperimentContext} from '../experiment-context.js';
import {readProcessUsage} from '../measure/read-process-usage.js';
import type {ArmName} from './arm-name.js';
import {createArmSettings} from './create-arm-settings.js';
import type {ServiceWorkload} from './service-workload.js';
import {siteDelays} from './site-delays.js';
import type {SlicePlan} from './slice-plan.js';
import {workloadParameters} from './workload-parameters.js';

type ArmSiteOptions = {
	readonly arm: ArmName;
	readonly siteName: SiteName;
	readonly context: ExperimentContext;
	readonly workerPool: LoadWorkerPool;
	readonly site?: Partial<SiteOptions>;
};

const targetWorkers = 2;
const callersPerService = 32;
const warmUpMs = 1500;
const warmUpLoad = 0.3;

/** An arm of an experiment: a simulated site with its own targets and instances. */
export class ArmSite {
	readonly site: Site;
	private _sliceCount = 0;

	constructor(private readonly _options: ArmSiteOptions) {
		const {arm, siteName, context, site} = _options;
		this.site = context.store.add(new Site({
			site: siteName,
			targetWorkers,
			targetBehavior: {oneWayDelayMs: siteDelays[siteName].targetMs},
			settings: createArmSettings(arm, siteLayouts[siteName].entryCount),
			...site,
		}));
	}

	/** Name of the arm. */
	get arm(): ArmName {
		return this._options.arm;
	}

	/** Starts the targets and instances of the site. */
	async start(): Promise<void> {
		await this.site.start();
		this._options.context.log(`${this._options.siteName}: ${this.arm} started`);
	}

	/** Sends a load whose samples are discarded. */
	async warmUp(workloads: readonly ServiceWorkload[]): Promise<void> {
		await this.runSlice({
			seed: this._options.context.seed, durationMs: warmUpMs, workloads, load: warmUpLoad,
		});
	}

	/** Runs one slice; resolves once its last request has ended. */
	async runSlice(slice: SlicePlan): Promise<readonly CallSample[]> {
		this._sliceCount++;
		await this.site.fleet.setBehavior([], {
			slowSchedule: {
				seed: slice.seed, share: workloadParameters.slowShare, factor: workloadParameters.slowFactor, episodeMs: workloadParameters.slowEpisodeMs, startedAt: Date.now(),
			},
		});
		return this._options.workerPool.run(slice.workloads.map((workload, index) => this._createPlan(slice, workload, index)));
	}

	/** Reads the total processor time of all instance processes, in ms. */
	async readCpuMs(): Promise<number> {
		const usages = await Promise.all(this.site.entryPids.map(async pid => readProcessUsage(pid)));
		return usages.reduce((sum, usage) => sum + usage.cpuMs, 0);
	}

	private _createPlan(slice: SlicePlan, {service, kinds, capacityPerSecond}: ServiceWorkload, index: number): LoadPlan {
		const {instances} = this.site;
		return {
			name: `${this.arm.replaceAll(' ', '-')}-${this._sliceCount}`,
			service,
			seed: (slice.seed * 100) + index,
			demand: {
				ratePerSecond: slice.load * capacityPerSecond,
				swing: slice.swing ?? workloadParameters.swing,
				swingPeriodMs: workloadParameters.swingPeriodMs,
				crestFactor: slice.crestFactor ?? 1,
				crestEveryMs: slice.crestEveryMs ?? slice.durationMs,
				crestMs: slice.crestMs ?? 0,
			},
			durationMs: slice.durationMs,
			kinds,
			callers: callersPerService,
			domains: siteLayouts[this._options.siteName].failureDomains,
			routeUrls: instances.map(instance => `http://${instance.host}:${instance.routePort}`),
			directUrls: [],
			oneWayDelayMs: siteDelays[this._options.siteName].callerMs,
			isSpinning: false,
			concurrency: 0,
		};
	}
}
