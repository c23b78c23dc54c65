import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {convertZodError} from '../../common/convert-zod-error.js';
import type {FieldError} from '../../common/field-error.js';
import {parametersSchema} from '../../common/parameters-schema.js';
import type {Parameters} from '../../common/parameters.js';
import {renderService} from '../../common/render-service.js';
import {templateSchema} from '../../common/template-schema.js';
import type {Template} from '../../common/template.js';
import type {ConfigurationEntry} from './configuration-entry.js';
import type {RefusedValue} from './refused-value.js';
import type {RevisionStore} from './revision-store.js';
import type {ActiveService} from './active-service.js';

type ParsedValue = Result<Template | Parameters, FieldError[]>;
type ServiceChange = {readonly name: string; readonly before: ActiveService | undefined; readonly after: ActiveService | undefined};

const parametersPrefix = 'parameters/';
const templatesPrefix = 'templates/';

const parseText = <T extends z.ZodType>(text: string, schema: T): Result<z.infer<T>, FieldError[]> => {
	let input: unknown;
	try {
		input = JSON.parse(text);
	} catch (error) {
		return err([{field: '(root)', value: text.slice(0, 80), message: (error as Error).message}]);
	}

	const checked = schema.safeParse(input);
	return checked.success ? ok(checked.data) : err(convertZodError(checked.error, input));
};

const checkName = (field: string, actual: string, expected: string): FieldError[] =>
	actual === expected ? [] : [{field, value: JSON.stringify(actual), message: `must be "${expected}", as in the key`}];

const parseEntry = (key: string, text: string): ParsedValue => {
	if (key.startsWith(templatesPrefix)) {
		return parseText(text, templateSchema).andThen(template => {
			const errors = checkName('name', template.name, key.slice(templatesPrefix.length));
			return errors.length === 0 ? ok(template) : err(errors);
		});
	}

	return parseText(text, parametersSchema).andThen(parameters => {
		const errors = checkName('service', parameters.service, key.slice(parametersPrefix.length));
		return errors.length === 0 ? ok(parameters) : err(errors);
	});
};

/**
Renders each service from the newest valid pair of parameters and template. An active pair is replaced only by one of
which neither part is older; when a new value is refused, the last valid pair remains active.
*/
export class ServiceStore {
	private readonly _activeServices = new Map<string, ActiveService>();
	private readonly _parsed = new Map<string, ParsedValue>();
	private readonly _refused = new Map<string, RefusedValue>();

	constructor(private readonly _store: RevisionStore) {}

	/** Newest revisions that failed validation, with the reasons. */
	get refused(): readonly RefusedValue[] {
		return [...this._refused.values()];
	}

	getService(name: string): ActiveService | undefined {
		return this._activeServices.get(name);
	}

	listServices(): readonly ActiveService[] {
		return [...this._activeServices.values()];
	}

	/** Renders the services that depend on a changed key and returns those that changed. */
	renderChanges(key: string): ServiceChange[] {
		if (key.startsWith(templatesPrefix)) {
			this._validateNewest(key);
			const template = key.slice(templatesPrefix.length);
			return this._store.keys.filter(other => other.startsWith(parametersPrefix) && this._referencesTemplate(other, template)).flatMap(other => this._render(other));
		}

		return key.startsWith(parametersPrefix) ? this._render(key) : [];
	}

	/** Whether an active service was rendered from a revision. */
	isUsed(entry: ConfigurationEntry): boolean {
		if (entry.key.startsWith(parametersPrefix)) {
			return this._activeServices.get(entry.key.slice(parametersPrefix.length))?.parametersRevision === entry.revision;
		}

		return this.listServices().some(({template, templateRevision}) => entry.key === `${templatesPrefix}${template}` && templateRevision === entry.revision);
	}

	/** Removes the cached parsed values of revisions that are no longer stored. */
	discardUnused(): void {
		const held = new Set(this._store.listEntries().map(({key, revision}) => `${key}@${revision}`));
		for (const id of this._parsed.keys()) {
			if (!held.has(id)) {
				this._parsed.delete(id);
			}
		}
	}

	private _render(key: string): ServiceChange[] {
		const name = key.slice(parametersPrefix.length);
		const before = this._activeServices.get(name);
		const newest = this._store.getNewest(key);
		if (newest?.text === undefined) {
			this._activeServices.delete(name);
			this._refused.delete(key);
			return before === undefined ? [] : [{name, before, after: undefined}];
		}

		this._validateNewest(key);
		const after = this._findPair(key, before);
		if (after === undefined || (before?.parametersRevision === after.parametersRevision && before.template === after.template && before.templateRevision === after.templateRevision)) {
			return [];
		}

		this._activeServices.set(name, after);
		return [{name, before, after}];
	}

	private _findPair(key: string, before: ActiveService | undefined): ActiveService | undefined {
		for (const entry of this._store.listRevisions(key)) {
			const parameters = this._parse(entry)?.unwrapOr(undefined) as Parameters | undefined;
			if (parameters === undefined || entry.revision < (before?.parametersRevision ?? 0)) {
				continue;
			}

			for (const templateEntry of this._store.listRevisions(`${templatesPrefix}${parameters.template}`)) {
				const template = this._parse(templateEntry)?.unwrapOr(undefined) as Template | undefined;
				const isOlder = before?.template === parameters.template && templateEntry.revision < before.templateRevision;
				if (template === undefined || isOlder) {
					continue;
				}

				const rendered = renderService(template, parameters);
				if (rendered.isOk()) {
					return {
						spec: rendered.value, parametersRevision: entry.revision, template: parameters.template, templateRevision: templateEntry.revision,
					};
				}

				this._recordRefusal(entry, rendered.error);
			}
		}

		return undefined;
	}

	private _recordRefusal(entry: ConfigurationEntry, errors: readonly FieldError[]): void {
		if (entry.revision === this._store.getNewest(entry.key)?.revision && !this._refused.has(entry.key)) {
			this._refused.set(entry.key, {key: entry.key, revision: entry.revision, errors});
		}
	}

	private _validateNewest(key: string): void {
		this._refused.delete(key);
		const newest = this._store.getNewest(key);
		const parsed = newest === undefined ? undefined : this._parse(newest);
		if (newest !== undefined && parsed?.isErr()) {
			this._refused.set(key, {key, revision: newest.revision, errors: parsed.error});
		}
	}

	private _referencesTemplate(key: string, template: string): boolean {
		return this._store.listRevisions(key).some(entry => {
			const parsed = this._parse(entry);
			return parsed?.isOk() === true && 'template' in parsed.value && parsed.value.template === template;
		});
	}

	private _parse(entry: ConfigurationEntry): ParsedValue | undefined {
		if (entry.text === undefined) {
			return undefined;
		}

		const id = `${entry.key}@${entry.revision}`;
		let parsed = this._parsed.get(id);
		if (parsed === undefined) {
			parsed = parseEntry(entry.key, entry.text);
			this._parsed.set(id, parsed);
		}

		return parsed;
	}
}
