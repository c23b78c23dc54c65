import {setTimeout as sleep} from 'node:timers/promises';
import {type z} from 'zod';
import {convertZodError} from '../common/convert-zod-error.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import {instanceListSchema} from '../common/instance-list-schema.js';
import type {InstanceList} from '../common/instance-list.js';
import type {Logger} from '../common/logger.js';
import {parametersSchema} from '../common/parameters-schema.js';
import type {Parameters} from '../common/parameters.js';
import {renderService} from '../common/render-service.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {templateSchema} from '../common/template-schema.js';
import type {Template} from '../common/template.js';
import type {PlatformClient} from '../io/platform-client.js';
import type {PlatformValue} from '../io/platform-value.js';

const retryMs = 500;

type ConfigurationOptions = {
	readonly platform: PlatformClient;
	readonly prefix: string;
	readonly waitMs: number;
	readonly logger: Logger;
};

/** Reads and watches templates, parameters and the instance list, and renders the services in force. */
export class ConfigurationController implements ServiceCatalog, DisposableLike {
	private readonly _abort = new AbortController();
	private readonly _templates = new Map<string, Template>();
	private readonly _parameters = new Map<string, Parameters>();
	private readonly _services = new Map<string, ServiceSpec>();
	private readonly _revisions = new Map<string, number>();
	private readonly _onServiceChanged = new Emitter<ServiceSpec>();
	private readonly _onServiceRemoved = new Emitter<string>();
	private readonly _onInstanceList = new Emitter<InstanceList>();

	constructor(private readonly _options: ConfigurationOptions) {}

	get onServiceChanged() {
		return this._onServiceChanged.event;
	}

	get onServiceRemoved() {
		return this._onServiceRemoved.event;
	}

	/** Fires when a newer instance list was read. */
	get onInstanceList() {
		return this._onInstanceList.event;
	}

	/** Starts the watches; resolves after the first attempt to read everything. */
	async start(): Promise<void> {
		const listed = await this._options.platform.listKeys(`${this._options.prefix}/`);
		if (listed.isErr()) {
			this._options.logger.logError('platform-read-failed', {key: this._options.prefix, error: listed.error.message});
			void this._watchKeys(0);
			return;
		}

		await Promise.all(listed.value.keys.map(async key => this._watchFirst(key)));
		void this._watchKeys(listed.value.watchIndex);
	}

	getService(name: string): ServiceSpec | undefined {
		return this._services.get(name);
	}

	listServices(): readonly ServiceSpec[] {
		return [...this._services.values()];
	}

	dispose(): void {
		this._abort.abort();
	}

	private async _watchKeys(startIndex: number): Promise<void> {
		let index = startIndex;
		const {signal} = this._abort;
		while (!signal.aborted) {
			const listed = await this._options.platform.listKeys(`${this._options.prefix}/`, {index, waitMs: this._options.waitMs, signal});
			if (listed.isErr()) {
				await sleep(retryMs);
				continue;
			}

			index = listed.value.watchIndex;
			for (const key of listed.value.keys) {
				if (!this._revisions.has(key)) {
					void this._watchFirst(key);
				}
			}
		}
	}

	private async _watchFirst(key: string): Promise<void> {
		this._revisions.set(key, 0);
		const first = await this._options.platform.readValue(key);
		if (first.isOk()) {
			this._acceptValue(first.value);
		}

		void this._watchValue(key, first.isOk() ? first.value.watchIndex : 0);
	}

	private async _watchValue(key: string, startIndex: number): Promise<void> {
		let index = startIndex;
		const {signal} = this._abort;
		while (!signal.aborted) {
			const read = await this._options.platform.readValue(key, {index, waitMs: this._options.waitMs, signal});
			if (read.isErr()) {
				await sleep(retryMs);
				continue;
			}

			index = read.value.watchIndex;
			this._acceptValue(read.value);
		}
	}

	private _acceptValue(value: PlatformValue): void {
		if (value.text === undefined || value.modifyIndex <= (this._revisions.get(value.key) ?? 0)) {
			return;
		}

		this._revisions.set(value.key, value.modifyIndex);
		const kind = value.key.slice(this._options.prefix.length + 1).split('/')[0] ?? '';
		switch (kind) {
			case 'templates': {
				this._parse(value, templateSchema, template => {
					this._templates.set(template.name, template);
				});
				break;
			}

			case 'parameters': {
				this._parse(value, parametersSchema, parameters => {
					this._parameters.set(parameters.service, parameters);
				});
				break;
			}

			case 'instances': {
				this._parse(value, instanceListSchema, list => {
					this._onInstanceList.fire(list);
				});
				return;
			}

			default: {
				return;
			}
		}

		this._renderAll();
	}

	private _parse<T extends z.ZodType>(value: PlatformValue, schema: T, accept: (parsed: z.infer<T>) => void): void {
		let input: unknown;
		try {
			input = JSON.parse(value.text ?? '');
		} catch (error) {
			this._options.logger.logError('configuration-refused', {key: value.key, revision: value.modifyIndex, errors: [(error as Error).message]});
			return;
		}

		const checked = schema.safeParse(input);
		if (checked.success) {
			accept(checked.data);
			return;
		}

		this._options.logger.logError('configuration-refused', {key: value.key, revision: value.modifyIndex, errors: convertZodError(checked.error, input)});
	}

	private _renderAll(): void {
		for (const parameters of this._parameters.values()) {
			const template = this._templates.get(parameters.template);
			if (template === undefined) {
				continue;
			}

			const rendered = renderService(template, parameters);
			if (rendered.isErr()) {
				this._options.logger.logError('service-refused', {service: parameters.service, errors: rendered.error});
				continue;
			}

			const before = this._services.get(parameters.service);
			if (JSON.stringify(before) !== JSON.stringify(rendered.value)) {
				this._services.set(parameters.service, rendered.value);
				this._onServiceChanged.fire(rendered.value);
			}
		}
	}
}
