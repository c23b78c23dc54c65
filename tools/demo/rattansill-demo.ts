#!/usr/bin/env node
import process from 'node:process';
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {runProgram} from '../../src/bin/run-program.js';
import {DisposableStore} from '../../src/common/disposable-store.js';
import {ExitCode} from '../../src/common/exit-code.js';
import {formatTable} from '../load/report/format-table.js';
import {SiteName} from '../site/site-name.js';
import {Site} from '../site/site.js';
import {runDemoLoad} from './run-demo-load.js';
import {summarizeSamples} from './summarize-samples.js';

const entryCount = 4;
const targetsPerService = 3;

class DemoCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Starts a small site on loopback, sends mixed requests through real entry instances and prints a summary',
		details: 'Exit codes: 0 when every request received its own response, 1 when a request received none.',
		examples: [['Start the second example site', '$0 --site urdaneta'], ['Keep the site running', '$0 --keep']],
	});

	readonly site = Option.String('--site', SiteName.Wigroom, {description: 'wigroom or urdaneta', validator: t.isEnum(SiteName)});
	readonly keep = Option.Boolean('--keep', false, {description: 'Keep the site running until it is interrupted'});

	override async execute(): Promise<number> {
		const store = new DisposableStore();
		const exitOnSignal = () => {
			// Child processes would otherwise outlive this process.
			store.dispose();
			process.exit(ExitCode.Failure);
		};

		process.once('SIGINT', exitOnSignal).once('SIGTERM', exitOnSignal);
		try {
			return await this._run(store, () => {
				process.off('SIGINT', exitOnSignal).off('SIGTERM', exitOnSignal);
			});
		} finally {
			store.dispose();
		}
	}

	private async _run(store: DisposableStore, removeSignalHandlers: () => void): Promise<number> {
		const {stdout} = this.context;
		const site = store.add(new Site({
			site: this.site, entryCount, targetsPerService,
		}));
		stdout.write(`starting the ${this.site} site: ${entryCount} entry instances, ${site.services.length} services with ${targetsPerService} targets each\n`);
		await site.start();
		const samples = await runDemoLoad(site, line => {
			stdout.write(process.stdout.isTTY ? `\r${line}` : `${line}\n`);
		});
		const rows = summarizeSamples(samples);
		stdout.write(`${process.stdout.isTTY ? '\n' : ''}\n${formatTable(rows)}`);
		if (this.keep) {
			removeSignalHandlers();
			await this._waitForInterrupt(site);
		}

		await Promise.all(site.entries.map(async entry => entry.stop()));
		return rows.every(row => row['no response'] === 0) ? ExitCode.Success : ExitCode.Failure;
	}

	private async _waitForInterrupt(site: Site): Promise<void> {
		const [instance] = site.instances;
		const [service = ''] = site.services;
		this.context.stdout.write([
			'',
			'The site runs until Ctrl+C. Try:',
			`  curl http://127.0.0.1:${instance?.routePort}/routes/${service}`,
			`  curl -H 'Host: ${service}' http://127.0.0.1:${instance?.dataPort}/items/1`,
			`  curl http://127.0.0.1:${instance?.operatorPort}/`,
			'',
		].join('\n'));
		await new Promise<void>(resolve => {
			process.once('SIGINT', resolve).once('SIGTERM', resolve);
		});
	}
}

await runProgram('rattansill-demo', [DemoCommand]);
