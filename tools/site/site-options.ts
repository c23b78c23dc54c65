import type {IncomingMessage} from 'node:http';
import type {z} from 'zod';
import type {entrySettingsSchema} from '../../src/common/entry-settings-schema.js';
import type {ServiceTimeSpec} from '../standins/target/service-time-spec.js';
import type {TargetBehavior} from '../standins/target/target-behavior.js';
import type {SiteName} from './site-name.js';

type Settings = z.input<typeof entrySettingsSchema>;

/** What of a site is started. */
export type SiteOptions = {
	readonly site: SiteName;
	/** Entry instances; those of today when undefined. */
	readonly entryCount?: number;
	/** Services; all when undefined. */
	readonly services?: readonly string[];
	/** Targets a service; all when undefined. */
	readonly targetsPerService?: number;
	/** Time that a request occupies a slot, in ms; only for targets in this process. */
	readonly serviceTimeMs?: (request: IncomingMessage) => number;
	/** Distribution of service times where `serviceTimeMs` is not given. */
	readonly serviceTimes?: ServiceTimeSpec;
	readonly targetBehavior?: Partial<TargetBehavior>;
	/** Worker processes for the targets; 0 keeps them in this process. */
	readonly targetWorkers?: number;
	/** Replicas of the platform; 1 when undefined. */
	readonly platformReplicas?: number;
	/** Whether each target is placed behind a fault proxy. */
	readonly isProxyingTargets?: boolean;
	/** Whether the listeners of each entry instance for callers and peers are placed behind fault proxies. */
	readonly isProxyingEntries?: boolean;
	/** Settings that go before those of the site. */
	readonly settings?: Partial<Settings>;
	/** Values that go before those of the example's parameters, by service. */
	readonly parameters?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	/** Fields that go before those of the example's template, by template. */
	readonly templates?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
};
