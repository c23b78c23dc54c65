#!/usr/bin/env node
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {ExitCode} from '../common/exit-code.js';
import type {RouteResponse} from '../common/route-response.js';
import {fetchRoute} from '../io/fetch-route.js';
import {runProgram} from './run-program.js';

class RouteCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Asks which addresses to use for a service',
		details: 'Queries the entries in the given order until one responds that is not leaving. '
			+ 'Exit codes: 0 with a response, 1 when no entry knows the service, 2 for a wrong command line, 3 when no entry responds.',
		examples: [['Query two entries', '$0 lacefront --entry http://127.0.0.1:7101 --entry http://127.0.0.1:7201']],
	});

	readonly service = Option.String({name: 'service'});
	readonly entries = Option.Array('--entry', {required: true, description: 'Base URL of an entry\'s route listener; may be given several times'});
	readonly domain = Option.String('--domain', {description: 'Failure domain of the caller'});
	readonly timeoutMs = Option.String('--timeout-ms', '1000', {
		description: 'Timeout for the response of each entry, in ms', validator: t.cascade(t.isNumber(), [t.isInteger(), t.isInInclusiveRange(1, 600_000)]),
	});

	readonly json = Option.Boolean('--json', false, {description: 'Print the response as one JSON object'});

	override async execute(): Promise<number> {
		const invalidEntry = this.entries.find(entry => !URL.canParse(entry));
		if (invalidEntry !== undefined) {
			this.context.stderr.write(`--entry: ${invalidEntry}: must be a URL such as http://127.0.0.1:7101\n`);
			return ExitCode.Usage;
		}

		const failures: Array<{isUnknownService: boolean; detail: string}> = [];
		let leavingResponse: RouteResponse | undefined;
		for (const entry of this.entries) {
			const result = await fetchRoute({
				entry, service: this.service, domain: this.domain, timeoutMs: this.timeoutMs,
			});
			if (result.isErr()) {
				failures.push(result.error);
				continue;
			}

			if (!result.value.leaving) {
				this._printResponse(result.value);
				return ExitCode.Success;
			}

			leavingResponse ??= result.value;
		}

		if (leavingResponse !== undefined) {
			this._printResponse(leavingResponse);
			return ExitCode.Success;
		}

		for (const {detail} of failures) {
			this.context.stderr.write(`${detail}\n`);
		}

		return failures.some(failure => failure.isUnknownService) ? ExitCode.Failure : ExitCode.Unavailable;
	}

	private _printResponse(response: RouteResponse): void {
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify(response)}\n`);
			return;
		}

		for (const {host, port, instanceId, failureDomain} of response.addresses) {
			this.context.stdout.write(`${host}:${port}\t${instanceId}\t${failureDomain}\n`);
		}

		const notes = [response.stale ? 'from a stale instance list' : '', response.leaving ? 'from an entry that is leaving' : ''].filter(note => note !== '');
		this.context.stdout.write(`use for ${response.lifetimeMs} ms${notes.map(note => `, ${note}`).join('')}\n`);
	}
}

await runProgram('rattansill-route', [RouteCommand]);
