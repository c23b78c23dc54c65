import process from 'node:process';
import {StandInTarget} from './stand-in-target.js';
import type {TargetCommand} from './target-command.js';
import {TargetCommandKind} from './target-command-kind.js';

type Envelope = {readonly id: number; readonly command: TargetCommand};

const loopback = '127.0.0.1';

/** Hosts stand-in targets in a worker process and runs the commands of the parent process. */
class TargetWorker {
	private readonly _targets = new Map<string, StandInTarget>();

	async run(command: TargetCommand): Promise<unknown> {
		switch (command.kind) {
			case TargetCommandKind.Start: {
				return this._start(command.targets);
			}

			case TargetCommandKind.SetBehavior: {
				for (const target of this._targets.values()) {
					if (command.targets.length === 0 || command.targets.includes(target.id)) {
						target.setBehavior(command.change);
					}
				}

				return undefined;
			}

			case TargetCommandKind.ReadStats: {
				return [...this._targets.values()].map(target => target.stats);
			}

			case TargetCommandKind.ReadRecords: {
				return [...this._targets.values()].flatMap(target => target.records);
			}

			case TargetCommandKind.ClearLedgers: {
				for (const target of this._targets.values()) {
					target.clearLedger();
				}

				return undefined;
			}

			case TargetCommandKind.Stop: {
				process.disconnect();
				for (const target of this._targets.values()) {
					target.dispose();
				}

				return undefined;
			}
		}
	}

	private async _start(targets: Extract<TargetCommand, {kind: TargetCommandKind.Start}>['targets']): Promise<Record<string, number>> {
		const ports: Record<string, number> = {};
		for (const options of targets) {
			const target = new StandInTarget(options);
			await target.listener.listen({host: loopback, port: 0});
			this._targets.set(options.id, target);
			ports[options.id] = target.listener.port;
		}

		return ports;
	}
}

const worker = new TargetWorker();
process.on('message', (envelope: Envelope) => {
	void (async () => {
		const value = await worker.run(envelope.command);
		if (process.connected) {
			process.send?.({id: envelope.id, value});
		}
	})();
});
process.on('disconnect', () => {
	process.exit(0);
});
