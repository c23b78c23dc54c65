import process from 'node:process';
import {Command, Option} from 'clipanion';
import {entrySettingsSchema} from '../common/entry-settings-schema.js';
import {ExitCode} from '../common/exit-code.js';
import {formatFieldError} from '../common/format-field-error.js';
import {DebugLogger} from '../io/debug-logger.js';
import {readSettings} from '../io/read-settings.js';
import {reportProcessEnd} from '../io/report-process-end.js';
import {EntryDaemon} from './entry-daemon.js';
import {entrySignals} from './entry-signals.js';
import {StartEnd} from './start-end.js';

/** `rattansill-entry`: runs one entry instance. */
export class EntryCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Runs one entry instance until a signal stops it',
		details: 'SIGTERM or SIGINT starts a planned stop, a second one shortens it, a third aborts requests in flight. '
			+ 'Exit codes: 0 after a planned stop, 1 when a stop had to abort requests in flight, 2 for invalid settings, 3 when a listener cannot be opened.',
		examples: [['Run with a settings file', '$0 --settings entry.json']],
	});

	readonly settings = Option.String('--settings', {required: true, description: 'JSON settings file'});

	override async execute(): Promise<number> {
		reportProcessEnd(process.stderr, 'entry');
		const settings = readSettings(this.settings, entrySettingsSchema);
		if (settings.isErr()) {
			for (const error of settings.error) {
				this.context.stderr.write(formatFieldError(this.settings, error));
			}

			return ExitCode.Usage;
		}

		DebugLogger.enableNamespaces(settings.value.log.namespaces);
		const daemon = new EntryDaemon(settings.value);
		entrySignals.forwardTo(signal => {
			if (signal === 'SIGHUP') {
				daemon.noteReloadSignal();
			} else {
				daemon.handleSignal();
			}
		});
		const started = await daemon.start();
		if (started.isErr()) {
			this.context.stderr.write(`${started.error.message}\n`);
			daemon.dispose();
			return ExitCode.Unavailable;
		}

		if (started.value === StartEnd.Stopped) {
			daemon.dispose();
			return ExitCode.Success;
		}

		const cutCount = await daemon.waitUntilStopped();
		daemon.dispose();
		return cutCount === 0 ? ExitCode.Success : ExitCode.Failure;
	}
}
