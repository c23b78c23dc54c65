import process from 'node:process';
import type {LoadPlan} from './load-plan.js';
import {LoadRunner} from './load-runner.js';

type Envelope = {readonly id: number; readonly command: LoadPlan};

const runner = new LoadRunner();
process.on('message', (envelope: Envelope) => {
	void (async () => {
		const value = await runner.run(envelope.command);
		if (process.connected) {
			process.send?.({id: envelope.id, value});
		}
	})();
});
process.on('disconnect', () => {
	process.exit(0);
});
