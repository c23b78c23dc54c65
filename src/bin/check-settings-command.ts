import {Command, Option} from 'clipanion';
import {entrySettingsSchema} from '../common/entry-settings-schema.js';
import {ExitCode} from '../common/exit-code.js';
import {formatFieldError} from '../common/format-field-error.js';
import {readSettings} from '../io/read-settings.js';

/** `rattansill-check settings`: checks a settings file and prints the settings with the defaults filled in. */
export class CheckSettingsCommand extends Command {
	static override paths = [['settings']];
	static override usage = Command.Usage({
		description: 'Checks a settings file of rattansill-entry and prints it with the defaults filled in',
		details: 'Exit codes: 0 when the file is valid, 1 when a value is invalid, 2 for a wrong command line or a missing file.',
		examples: [['Check a file', '$0 settings entry.json']],
	});

	readonly file = Option.String({name: 'file'});
	readonly json = Option.Boolean('--json', false, {description: 'Print one JSON object: {"file", "settings", "errors"}'});

	override async execute(): Promise<number> {
		const read = readSettings(this.file, entrySettingsSchema);
		const errors = read.isErr() ? read.error : [];
		if (this.json) {
			const settings = read.isOk() ? read.value : undefined;
			this.context.stdout.write(`${JSON.stringify({file: this.file, settings, errors})}\n`);
		} else if (read.isOk()) {
			this.context.stdout.write(`${JSON.stringify(read.value, undefined, 2)}\n`);
		}

		for (const error of this.json ? [] : errors) {
			this.context.stderr.write(formatFieldError(this.file, error));
		}

		if (errors.length === 0) {
			return ExitCode.Success;
		}

		return errors.some(error => error.field === '(file)') ? ExitCode.Usage : ExitCode.Failure;
	}
}
