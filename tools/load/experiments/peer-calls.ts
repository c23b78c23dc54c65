import process from 'node:process';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {MemberState} from '../../../src/common/gateway/member-state.js';
import type {SyncMessage} from '../../../src/common/gateway/sync-message.js';
import {HeldBytes} from '../../../src/policy/gateway/held-bytes.js';
import {disabledMetrics} from '../../../src/io/disabled-metrics.js';
import {ByteMeter} from '../../../src/io/gateway/byte-meter.js';
import {createCallHandler} from '../../../src/io/gateway/create-call-handler.js';
import {createSyncRouter} from '../../../src/io/gateway/create-sync-router.js';
import {SyncClient} from '../../../src/io/gateway/sync-client.js';
import {HttpListener} from '../../../src/io/http-listener.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import type {ArmResult} from '../report/arm-result.js';
import {createCheck} from '../report/create-check.js';

/** Links of an instance, two on each of three rings. On each link, one side calls the other once per second. */
const linkCount = 6;
/** Limit of the processor time of the control plane, in ms per second: 1.7% of a core. */
const maxCpuMsPerSecond = 17;
/** Calls before the measurement, about as many as an instance makes in its first half minute. */
const warmUpCallCount = 200;
const measuredCallCount = 2000;

const message: SyncMessage = {
	from: 'i-1',
	incarnation: 1,
	changeNumber: 12,
	takenNumber: 12,
	digest: 4,
	members: [{
		id: 'i-1', failureDomain: 'd', dataAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', cores: 1, incarnation: 1, revision: 5, state: MemberState.Running, isServing: true, canRead: true,
	}],
	view: {
		configuration: 3, configurationAgeMs: 10, targets: 7, targetsAgeMs: 20,
	},
};

type Handler = ReturnType<typeof createCallHandler> | ReturnType<typeof createHTTPHandler>;

const router = createSyncRouter({handleMessage: received => received, getConfiguration: () => undefined}, silentLogger);

const createHandlerListener = (handle: Handler) => new HttpListener({keepAliveTimeout: 30_000}, (request, response) => {
	void handle(request, response);
});

/** Measures the processor time of a call, client and server together, in ms. */
const measureCall = async (context: ExperimentContext, handler: Handler): Promise<number> => {
	const listener = context.store.add(createHandlerListener(handler));
	const listenResult = await listener.listen({host: '127.0.0.1', port: 0});
	if (listenResult.isErr()) {
		throw listenResult.error;
	}

	const client = context.store.add(new SyncClient(new ByteMeter(), disabledMetrics, silentLogger));
	const sendCalls = async (count: number) => {
		for (let call = 0; call < count; call++) {
			const exchangeResult = await client.exchange(`127.0.0.1:${listener.port}`, message);
			if (exchangeResult.isErr()) {
				throw exchangeResult.error;
			}
		}
	};

	await sendCalls(warmUpCallCount);
	const before = process.cpuUsage();
	await sendCalls(measuredCallCount);
	const used = process.cpuUsage(before);
	return (used.user + used.system) / 1000 / measuredCallCount;
};

/** Measures the processor time of calls between gateways. */
export const peerCallsExperiment: Experiment = {
	name: 'peer-calls',
	description: 'Processor time of a call between gateways, with their own handler and with the library handler, against the control-plane limit',
	async run(context) {
		const arms: ArmResult[] = [];
		for (const [name, handler] of [['gateway', createCallHandler(router, new HeldBytes(Number.POSITIVE_INFINITY))], ['library', createHTTPHandler({router})]] as const) {
			arms.push({name, callMs: await measureCall(context, handler)});
			context.log(`${name}: measured`);
		}

		const [gatewayArm] = arms;
		return {
			arms,
			checks: [createCheck('gateway: processor time of one call a second on each link, one side of each', {atMost: maxCpuMsPerSecond, unit: 'ms/s'}, Number(gatewayArm?.callMs) * linkCount / 2)],
			notes: [`${measuredCallCount} calls on one connection after ${warmUpCallCount} warm-up calls, each with one member record; both sides run in one process.`],
		};
	},
};
