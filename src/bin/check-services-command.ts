import {Command, Option} from 'clipanion';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {ExitCode} from '../common/exit-code.js';
import type {FieldError} from '../common/field-error.js';
import {formatFieldError} from '../common/format-field-error.js';
import {parametersSchema} from '../common/parameters-schema.js';
import type {Parameters} from '../common/parameters.js';
import {renderService} from '../common/render-service.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {templateSchema} from '../common/template-schema.js';
import type {Template} from '../common/template.js';
import {listJsonFiles} from '../io/list-json-files.js';
import {readSettings} from '../io/read-settings.js';
import {explainRequest} from '../policy/explain-request.js';
import {formatService} from './format-service.js';

type CheckedFile<T> = {readonly file: string; readonly value: T};
type FileError = FieldError & {readonly file: string};
type Explanation = {readonly request: string; readonly rule?: string; readonly idempotent?: boolean; readonly refusal?: string};
type CheckedService = {readonly spec: ServiceSpec; readonly requests: readonly Explanation[]};

/** `rattansill-check services`: renders templates with parameters and explains which rule applies to a request. */
export class CheckServicesCommand extends Command {
	static override paths = [['services']];
	static override usage = Command.Usage({
		description: 'Renders templates with parameters, checks and explains the services',
		details: 'Templates and parameters are files or folders of .json files. '
			+ 'Exit codes: 0 when every service is valid, 1 when a value is invalid, 2 for a wrong command line or a missing file.',
		examples: [
			['Check all services', '$0 services --templates examples/templates --parameters examples/parameters'],
			['Explain which rule applies', '$0 services --templates examples/templates --parameters examples/parameters/chairbook.json --request "POST /bookings"'],
		],
	});

	readonly templates = Option.Array('--templates', {required: true, description: 'Template file or folder; may be given several times'});
	readonly parameters = Option.Array('--parameters', {required: true, description: 'Parameters file or folder; may be given several times'});
	readonly requests = Option.Array('--request', [], {description: 'Method and target to explain, such as "GET /x"; may be given several times'});
	readonly json = Option.Boolean('--json', false, {description: 'Print one JSON object: {"services", "errors"}'});

	override async execute(): Promise<number> {
		const templateFiles = listJsonFiles(this.templates);
		const parameterFiles = listJsonFiles(this.parameters);
		if (templateFiles.isErr() || parameterFiles.isErr()) {
			for (const fileList of [templateFiles, parameterFiles]) {
				this.context.stderr.write(fileList.isErr() ? `${fileList.error}\n` : '');
			}

			return ExitCode.Usage;
		}

		const errors: FileError[] = [];
		const templates = this._readFiles(templateFiles.value, templateSchema, errors);
		const parameters = this._readFiles(parameterFiles.value, parametersSchema, errors);
		this._findDuplicates(templates, template => template.name, errors);
		this._findDuplicates(parameters, item => item.service, errors);
		const services: CheckedService[] = [];
		for (const item of parameters) {
			const rendered = this._render(item, templates);
			if (rendered.isOk()) {
				services.push({spec: rendered.value, requests: this.requests.map(line => this._explain(rendered.value, line))});
			} else {
				errors.push(...rendered.error);
			}
		}

		this._print(services, errors);
		return errors.length === 0 ? ExitCode.Success : ExitCode.Failure;
	}

	private _readFiles<T extends z.ZodType>(files: readonly string[], schema: T, errors: FileError[]): Array<CheckedFile<z.infer<T>>> {
		const checked: Array<CheckedFile<z.infer<T>>> = [];
		for (const file of files) {
			const read = readSettings(file, schema);
			if (read.isOk()) {
				checked.push({file, value: read.value});
			} else {
				errors.push(...read.error.map(error => ({file, ...error})));
			}
		}

		return checked;
	}

	private _findDuplicates<T>(items: ReadonlyArray<CheckedFile<T>>, getName: (value: T) => string, errors: FileError[]): void {
		const fileByName = new Map<string, string>();
		for (const {file, value} of items) {
			const name = getName(value);
			const firstFile = fileByName.get(name);
			if (firstFile === undefined) {
				fileByName.set(name, file);
			} else {
				errors.push({
					file, field: '(name)', value: JSON.stringify(name), message: `already defined in ${firstFile}`,
				});
			}
		}
	}

	private _render({file, value}: CheckedFile<Parameters>, templates: ReadonlyArray<CheckedFile<Template>>): Result<ServiceSpec, FileError[]> {
		const template = templates.find(item => item.value.name === value.template);
		if (template === undefined) {
			return err([{
				file, field: 'template', value: JSON.stringify(value.template), message: `must be one of the templates: ${templates.map(item => item.value.name).join(', ')}`,
			}]);
		}

		const rendered = renderService(template.value, value);
		return rendered.isOk() ? ok(rendered.value) : err(rendered.error.map(error => ({file: `${file} with ${template.file}`, ...error})));
	}

	private _explain(service: ServiceSpec, line: string): Explanation {
		const explained = explainRequest(service, line);
		return explained.isOk()
			? {request: line, rule: explained.value.name, idempotent: explained.value.idempotent}
			: {request: line, refusal: explained.error.message};
	}

	private _print(services: readonly CheckedService[], errors: readonly FileError[]): void {
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({services: services.map(({spec, requests}) => ({...spec, requests})), errors})}\n`);
			return;
		}

		for (const {spec, requests} of services) {
			this.context.stdout.write(formatService(spec));
			for (const {request, rule, idempotent, refusal} of requests) {
				const explanation = refusal ?? `rule ${rule}, ${idempotent === true ? 'idempotent' : 'not idempotent, at most once'}`;
				this.context.stdout.write(`  ${request}: ${explanation}\n`);
			}
		}

		for (const {file, ...error} of errors) {
			this.context.stderr.write(formatFieldError(file, error));
		}
	}
}
