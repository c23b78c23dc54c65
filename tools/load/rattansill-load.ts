#!/usr/bin/env node
import process from 'node:process';
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {runProgram} from '../../src/bin/run-program.js';
import {DisposableStore} from '../../src/common/disposable-store.js';
import {ExitCode} from '../../src/common/exit-code.js';
import {SiteName} from '../site/site-name.js';
import type {Experiment} from './experiment.js';
import {experimentRegistry} from './experiments/experiment-registry.js';
import type {ExperimentResult} from './report/experiment-result.js';
import {formatTable} from './report/format-table.js';
import {writeReport} from './report/write-report.js';

class ListCommand extends Command {
	static override paths = [['list']];
	static override usage = Command.Usage({description: 'Lists the experiments'});

	override async execute(): Promise<number> {
		this.context.stdout.write(formatTable(experimentRegistry.map(({name, description}) => ({name, description}))));
		return ExitCode.Success;
	}
}

class RunCommand extends Command {
	static override paths = [['run']];
	static override usage = Command.Usage({
		description: 'Runs an experiment and checks its bounds',
		details: 'Exit codes: 0 when all checks hold, 1 when at least one does not, 2 for an unknown experiment.',
		examples: [['Measure the overhead of one hop', '$0 run overhead --seed 1 --json']],
	});

	readonly experiment = Option.String();
	readonly seed = Option.String('--seed', '1', {description: 'Seed of the arrivals, service times and faults', validator: t.isNumber()});
	readonly seconds = Option.String('--seconds', {description: 'Duration of the load on each arm, in seconds', validator: t.isNumber()});
	readonly minutes = Option.String('--minutes', {description: 'Duration of the load on each arm, in minutes; overrides --seconds', validator: t.isNumber()});
	readonly site = Option.String('--site', {description: 'Run on this site only: wigroom or urdaneta', validator: t.isEnum(SiteName)});
	readonly json = Option.Boolean('--json', false, {description: 'Print the results as one JSON object on the last line'});
	readonly report = Option.String('--report', {description: 'Folder to write an HTML report with plots to'});

	override async execute(): Promise<number> {
		const experiment = experimentRegistry.find(item => item.name === this.experiment);
		if (experiment === undefined) {
			this.context.stderr.write(`no experiment is named "${this.experiment}"; "rattansill-load list" shows them\n`);
			return ExitCode.Usage;
		}

		const result = await this._run(experiment);
		await this._print(result);
		return result.checks.every(check => check.holds) ? ExitCode.Success : ExitCode.Failure;
	}

	private async _run(experiment: Experiment): Promise<ExperimentResult> {
		const store = new DisposableStore();
		const stop = () => {
			store.dispose();
			process.exit(ExitCode.Failure);
		};

		process.once('SIGINT', stop).once('SIGTERM', stop);
		try {
			return await experiment.run({
				seed: this.seed,
				seconds: this.minutes === undefined ? this.seconds : this.minutes * 60,
				sites: this.site === undefined ? undefined : [this.site],
				store,
				log: line => {
					this.context.stderr.write(`${line}\n`);
				},
			});
		} finally {
			store.dispose();
			process.off('SIGINT', stop).off('SIGTERM', stop);
		}
	}

	private async _print(result: ExperimentResult): Promise<void> {
		const {stdout, stderr} = this.context;
		if (this.report !== undefined) {
			stderr.write(`report: ${await writeReport(this.report, this.experiment, this.seed, result)}\n`);
		}

		if (this.json) {
			stdout.write(`${JSON.stringify({
				experiment: this.experiment, seed: this.seed, arms: result.arms, checks: result.checks,
			})}\n`);
			return;
		}

		for (const note of result.notes ?? []) {
			stdout.write(`${note}\n`);
		}

		stdout.write(`\n${formatTable(result.arms)}\n${formatTable(result.checks)}`);
	}
}

await runProgram('rattansill-load', [ListCommand, RunCommand]);
