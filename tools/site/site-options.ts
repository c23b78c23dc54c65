import type {IncomingMessage} from 'node:http';
import type {z} from 'zod';
import type {entrySettingsSchema} from '../../src/common/entry-settings-schema.js';
import type {ServiceTimeSpec} from '../standins/target/service-time-spec.js';
import type {TargetBehavior} from '../standins/target/target-behavior.js';
import type {SiteName} from './site-name.js';

type Settings = z.input<typeof entrySettingsSchema>;

/** Size, behavior and settings of a site to start. */
export type SiteOptions = {
	readonly site: SiteName;
	/** Number of entry instances; that of the site's layout when undefined. */
	readonly entryCount?: number;
	/** Names of the services to start; all when undefined. */
	readonly services?: readonly string[];
	/** Maximum number of targets per service; all when undefined. */
	readonly targetsPerService?: number;
	/** Computes the service time of a request, in ms; only for targets in this process. */
	readonly serviceTimeMs?: (request: IncomingMessage) => number;
	/** Distribution of service times where `serviceTimeMs` is not given. */
	readonly serviceTimes?: ServiceTimeSpec;
	readonly targetBehavior?: Partial<TargetBehavior>;
	/** Number of worker processes for the targets; 0, the default, runs them in this process. */
	readonly targetWorkers?: number;
	/** Number of replicas of the configuration service; 1 when undefined. */
	readonly platformReplicas?: number;
	/** Whether each target is behind a fault proxy. */
	readonly isProxyingTargets?: boolean;
	/** Whether the data and peer listeners of each entry instance are behind fault proxies. */
	readonly isProxyingEntries?: boolean;
	/** Settings that override those of the site. */
	readonly settings?: Partial<Settings>;
	/** Values that override those of the example parameters, by service. */
	readonly parameters?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	/** Service fields that override those of the example template, by template. */
	readonly templates?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
};
