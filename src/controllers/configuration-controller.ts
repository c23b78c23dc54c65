import type {Clock} from '../common/clock.js';
import {convertZodError} from '../common/convert-zod-error.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import {instanceListSchema} from '../common/instance-list-schema.js';
import type {InstanceList} from '../common/instance-list.js';
import type {Logger} from '../common/logger.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {ConfigurationEntry} from '../policy/configuration/configuration-entry.js';
import {OfferResult} from '../policy/configuration/offer-result.js';
import type {RefusedValue} from '../policy/configuration/refused-value.js';
import {RevisionStore} from '../policy/configuration/revision-store.js';
import {ServiceStore} from '../policy/configuration/service-store.js';
import type {ActiveService} from '../policy/configuration/active-service.js';

type ConfigurationOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};
type WantedRevision = {readonly key: string; readonly revision: number; readonly since: number};
type AcceptedEntry = {
	readonly entry: ConfigurationEntry;
	/** Id of the peer that sent the revision; undefined for the configuration service. */
	readonly source: string | undefined;
};

const instancesKey = 'instances';
const isServiceKey = (key: string): boolean => key.startsWith('templates/') || key.startsWith('parameters/');

/** Holds the active configuration of this instance, with revisions from the configuration service and from peers. */
export class ConfigurationController implements ServiceCatalog, DisposableLike {
	private readonly _revisionStore = new RevisionStore();
	private readonly _serviceStore = new ServiceStore(this._revisionStore);
	private readonly _wanted = new Map<string, WantedRevision>();
	private readonly _specs = new Map<string, ServiceSpec>();
	private readonly _onServiceChanged = new Emitter<ServiceSpec>();
	private readonly _onServiceRemoved = new Emitter<string>();
	private readonly _onInstanceList = new Emitter<InstanceList>();
	private readonly _onAccepted = new Emitter<AcceptedEntry>();
	private _refusedInstanceList: RefusedValue | undefined;
	private _digest: number | undefined;

	constructor(private readonly _options: ConfigurationOptions) {}

	get onServiceChanged() {
		return this._onServiceChanged.event;
	}

	get onServiceRemoved() {
		return this._onServiceRemoved.event;
	}

	/** Fires when a newer instance list becomes active. */
	get onInstanceList() {
		return this._onInstanceList.event;
	}

	/** Fires after a newer revision of any key was accepted. */
	get onAccepted() {
		return this._onAccepted.event;
	}

	/** Digest of the newest revisions of all keys; compared between peers. */
	get digest(): number {
		this._digest ??= this._revisionStore.computeDigest();
		return this._digest;
	}

	/** All known keys, including deleted ones. */
	get keys(): readonly string[] {
		return this._revisionStore.keys;
	}

	/** Newest revisions that failed validation and are therefore not active, with their errors. */
	get refused(): readonly RefusedValue[] {
		return this._refusedInstanceList === undefined ? this._serviceStore.refused : [...this._serviceStore.refused, this._refusedInstanceList];
	}

	getService(name: string): ServiceSpec | undefined {
		return this._specs.get(name);
	}

	listServices(): readonly ServiceSpec[] {
		return [...this._specs.values()];
	}

	/** Lists the active services with the revisions from which they were rendered. */
	listActiveServices(): readonly ActiveService[] {
		return this._serviceStore.listServices();
	}

	getNewest(key: string): ConfigurationEntry | undefined {
		return this._revisionStore.getNewest(key);
	}

	/** Lists every stored revision, including older ones that an active service still uses. */
	listEntries(): readonly ConfigurationEntry[] {
		return this._revisionStore.listEntries();
	}

	/** Whether a service has parameters but is not active; an older revision may then be rendered instead. */
	get hasMissingService(): boolean {
		return this._revisionStore.keys.some(key => key.startsWith('parameters/') && this._revisionStore.getNewest(key)?.text !== undefined && !this._specs.has(key.slice('parameters/'.length)));
	}

	/** Stores a revision if it is the newest of its key. An older one is stored only while some service is not active. */
	offerEntry(entry: ConfigurationEntry, source: string | undefined): OfferResult {
		if (entry.key !== instancesKey && !isServiceKey(entry.key)) {
			return OfferResult.Known;
		}

		const result = this._revisionStore.offer(entry);
		switch (result) {
			case OfferResult.Newer: {
				this._digest = undefined;
				this._applyEntry(entry);
				this._onAccepted.fire({entry, source});
				break;
			}

			case OfferResult.Older: {
				if (isServiceKey(entry.key) && this.hasMissingService) {
					this._revisionStore.addOlder(entry);
					this._applyEntry(entry);
				}

				break;
			}

			case OfferResult.Conflict: {
				this._options.logger.logError('configuration-conflict', {key: entry.key, revision: entry.revision, source});
				break;
			}

			case OfferResult.Known: {
				break;
			}
		}

		const wanted = this._wanted.get(entry.key);
		if (wanted !== undefined && (this._revisionStore.getNewest(entry.key)?.revision ?? 0) >= wanted.revision) {
			this._wanted.delete(entry.key);
		}

		return result;
	}

	/** Records that a revision exists which this instance has not received yet. */
	markWanted(key: string, revision: number): void {
		const held = this._revisionStore.getNewest(key)?.revision ?? 0;
		const wanted = this._wanted.get(key);
		if (revision > held && revision > (wanted?.revision ?? 0)) {
			this._wanted.set(key, {key, revision, since: wanted?.since ?? this._options.clock.now()});
		}
	}

	/** Lists the revisions that are known to exist but have not been received. */
	listWanted(): readonly WantedRevision[] {
		return [...this._wanted.values()];
	}

	dispose(): void {
		this._onServiceChanged.dispose();
		this._onServiceRemoved.dispose();
		this._onInstanceList.dispose();
		this._onAccepted.dispose();
	}

	private _applyEntry(entry: ConfigurationEntry): void {
		if (entry.key === instancesKey) {
			this._applyInstanceList(entry);
			return;
		}

		for (const {name, after} of this._serviceStore.renderChanges(entry.key)) {
			this._applyService(name, after);
		}

		this._revisionStore.discardUnused(item => this._serviceStore.isUsed(item));
		this._serviceStore.discardUnused();
		for (const refused of this._serviceStore.refused) {
			if (refused.key === entry.key && refused.revision === entry.revision) {
				this._options.logger.logError('configuration-refused', refused);
			}
		}
	}

	private _applyService(name: string, service: ActiveService | undefined): void {
		if (service === undefined) {
			this._specs.delete(name);
			this._options.logger.logInfo('service-removed', {service: name});
			this._onServiceRemoved.fire(name);
			return;
		}

		this._specs.set(name, service.spec);
		this._options.logger.logInfo('service-in-force', {service: name, parameters: service.parametersRevision, template: service.templateRevision});
		this._onServiceChanged.fire(service.spec);
	}

	private _applyInstanceList(entry: ConfigurationEntry): void {
		this._refusedInstanceList = undefined;
		if (entry.text === undefined) {
			return;
		}

		let input: unknown;
		try {
			input = JSON.parse(entry.text);
		} catch {
			input = undefined;
		}

		const checked = instanceListSchema.safeParse(input);
		if (checked.success) {
			this._onInstanceList.fire(checked.data);
			return;
		}

		this._refusedInstanceList = {key: entry.key, revision: entry.revision, errors: convertZodError(checked.error, input)};
		this._options.logger.logError('configuration-refused', this._refusedInstanceList);
	}
}
