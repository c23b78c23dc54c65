import process from 'node:process';
import {BarePipe} from './bare-pipe.js';

type Envelope = {readonly id: number; readonly command: readonly string[]};

process.on('message', (envelope: Envelope) => {
	void (async () => {
		const pipe = new BarePipe(envelope.command);
		await pipe.listener.listen({host: '127.0.0.1', port: 0});
		process.send?.({id: envelope.id, value: pipe.listener.port});
	})();
});
process.on('disconnect', () => {
	process.exit(0);
});
