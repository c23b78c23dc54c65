#!/usr/bin/env node
import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {ExitCode} from '../common/exit-code.js';
import {readFleetReport} from '../io/read-fleet-report.js';
import {readLogFolder} from '../io/read-log-folder.js';
import {explainLoggedRequest} from '../policy/status/explain-logged-request.js';
import {formatFleetReport} from '../policy/status/format-fleet-report.js';
import {PlaceCommand} from './place-command.js';
import {runProgram} from './run-program.js';

const clearScreen = '\u001B[2J\u001B[H';

class StatusCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Shows the views of all entry instances and where they differ',
		details: `Queries one operator port, then those of all members that it knows. Exit codes: 0 when all instances respond,
			agree and refuse nothing, 1 when not, 2 for a wrong command line, 3 when the first instance does not respond.`,
		examples: [['Show the fleet', '$0 --host 127.0.0.1 --port 7103'], ['Refresh it every second', '$0 --watch'], ['For scripts', '$0 --json']],
	});

	readonly host = Option.String('--host', '127.0.0.1', {description: 'IP address of any entry instance'});
	readonly port = Option.String('--port', '7103', {description: 'Operator port of that instance', validator: t.isNumber()});
	readonly json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	readonly watch = Option.Boolean('--watch', false, {description: 'Print repeatedly until interrupted'});
	readonly everyMs = Option.String('--every', '1000', {description: 'Interval of --watch, in ms', validator: t.isNumber()});

	override async execute(): Promise<number> {
		let code = await this._print();
		while (this.watch) {
			await sleep(this.everyMs);
			code = await this._print();
		}

		return code;
	}

	private async _print(): Promise<number> {
		const {stdout, stderr} = this.context;
		const report = await readFleetReport(this.host, this.port);
		if (report === undefined) {
			stderr.write(`no entry responds on operator port ${this.host}:${this.port}\n`);
			return ExitCode.Unavailable;
		}

		stdout.write(this.json ? `${JSON.stringify(report)}\n` : `${this.watch ? clearScreen : ''}${formatFleetReport(report)}`);
		const isHealthy = report.silent.length === 0 && report.disagreements.length === 0 && report.refused.length === 0;
		return isHealthy ? ExitCode.Success : ExitCode.Failure;
	}
}

class ExplainCommand extends Command {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Explains from a folder of logs how a request ended',
		details: 'Exit codes: 0 when a line names the request, 1 when none does, 2 when the folder cannot be read.',
		examples: [['Explain a request', '$0 explain --logs logs --request 9c41d07be2a35f68']],
	});

	readonly logs = Option.String('--logs', {description: 'Folder with the log files of all instances', required: true});
	readonly request = Option.String('--request', {description: 'Id of the request, as its caller sent it', required: true});

	override async execute(): Promise<number> {
		const {stdout, stderr} = this.context;
		let lines: string[];
		try {
			lines = explainLoggedRequest(readLogFolder(this.logs), this.request);
		} catch (error) {
			stderr.write(`--logs ${this.logs}: ${(error as Error).message}\n`);
			return ExitCode.Usage;
		}

		if (lines.length === 0) {
			stderr.write(`--request ${this.request}: no line of the logs in ${this.logs} names it; of ordinary requests only a sample is logged\n`);
			return ExitCode.Failure;
		}

		stdout.write(lines.map(line => `${line}\n`).join(''));
		return ExitCode.Success;
	}
}

await runProgram('rattansill-status', [StatusCommand, ExplainCommand, PlaceCommand]);
