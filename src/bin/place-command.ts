import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {ExitCode} from '../common/exit-code.js';
import type {PlacementExplanation} from '../common/gateway/placement-explanation.js';
import {PlacementStep} from '../common/gateway/placement-step.js';
import {fetchPlacement} from '../io/fetch-placement.js';
import {formatPlacement} from '../policy/status/format-placement.js';

const badRequestStatus = 400;

/** Shows where an instance would send a request now, and why, without sending it. */
export class PlaceCommand extends Command {
	static override paths = [['place']];
	static override usage = Command.Usage({
		description: 'Shows where a gateway would send a request now, and why, without sending it',
		details: `Asks the metrics listener of one instance. Exit codes: 0 when the request would be sent or queued, 1 when it would be refused or has no route,
			2 for a wrong command line, 3 when the instance does not respond.`,
		examples: [
			['Explain a request', '$0 place --metrics 127.0.0.1:9464 --host www.example --path /styles/7'],
			['For scripts', '$0 place --metrics 127.0.0.1:9464 --host www.example --path / --json'],
		],
	});

	readonly metrics = Option.String('--metrics', {description: 'Address of the metrics listener of an instance, such as 127.0.0.1:9464', required: true});
	readonly method = Option.String('--method', 'GET', {description: 'Method of the request'});
	readonly host = Option.String('--host', {description: 'Host header of the request', required: true});
	readonly requestPath = Option.String('--path', {description: 'Path of the request', required: true});
	readonly bodyBytes = Option.String('--body-bytes', '0', {
		description: 'Size of the request body, in bytes', validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(0)]),
	});

	readonly json = Option.Boolean('--json', false, {description: 'Print one JSON object'});

	override async execute(): Promise<number> {
		const {stdout, stderr} = this.context;
		if (!URL.canParse(`http://${this.metrics}/`)) {
			stderr.write(`--metrics: ${this.metrics}: must be an address such as 127.0.0.1:9464\n`);
			return ExitCode.Usage;
		}

		const {method, host, requestPath: path, bodyBytes} = this;
		const fetched = await fetchPlacement(this.metrics, {
			method, host, path, bodyBytes,
		});
		if (fetched.isErr()) {
			const {status, detail} = fetched.error;
			stderr.write(`${detail}\n`);
			return status === undefined ? ExitCode.Unavailable : (status === badRequestStatus ? ExitCode.Usage : ExitCode.Failure);
		}

		stdout.write(this.json ? `${JSON.stringify(fetched.value)}\n` : formatPlacement(fetched.value));
		return this._isRefused(fetched.value) ? ExitCode.Failure : ExitCode.Success;
	}

	private _isRefused({refusal, services}: PlacementExplanation): boolean {
		return refusal !== undefined || services.some(({step}) => step === PlacementStep.Refuse);
	}
}
