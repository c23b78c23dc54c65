import {describe, expect, it} from 'vitest';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {SiteView} from './site-view.js';

type Step = {readonly atMs: number; readonly receives?: number; readonly peerHas?: number; readonly registryHas?: number};

const createPeerView = (configuration: number): ViewVersion => ({
	configuration, configurationAgeMs: 0, targets: 0, targetsAgeMs: 0,
});

describe('SiteView', () => {
	it.each<{name: string; steps: Step[]; version: number; lagMs: number}>([
		{
			name: 'has the newest', steps: [{atMs: 0, receives: 3}, {atMs: 10, peerHas: 3}], version: 3, lagMs: 0,
		},
		{
			name: 'misses a version', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 4}], version: 3, lagMs: 900,
		},
		{
			name: 'misses several in a row', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 4}, {atMs: 500, peerHas: 5}], version: 3, lagMs: 900,
		},
		{
			name: 'receives one of several missed', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 4}, {atMs: 500, peerHas: 5}, {atMs: 700, receives: 4}], version: 4, lagMs: 300,
		},
		{
			name: 'receives the missed one', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 4}, {atMs: 700, receives: 4}], version: 4, lagMs: 0,
		},
		{
			name: 'is offered an older one', steps: [{atMs: 0, receives: 3}, {atMs: 10, receives: 2}], version: 3, lagMs: 0,
		},
		{
			name: 'misses one after it was up to date', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 4}, {atMs: 200, receives: 4}, {atMs: 600, peerHas: 5}], version: 4, lagMs: 400,
		},
		{
			name: 'is told of one that the registry does not have', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: Number.MAX_SAFE_INTEGER}, {atMs: 200, registryHas: 3}], version: 3, lagMs: 0,
		},
		{
			name: 'is told again of one that the registry does not have', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 9}, {atMs: 200, registryHas: 3}, {atMs: 300, peerHas: 9}], version: 3, lagMs: 0,
		},
		{
			name: 'misses one after it was told of one that the registry does not have', steps: [{atMs: 0, receives: 3}, {atMs: 100, peerHas: 9}, {atMs: 200, registryHas: 3}, {atMs: 300, peerHas: 4}, {atMs: 400, peerHas: 9}], version: 3, lagMs: 700,
		},
		{
			name: 'misses one that was published after the registry had confirmed the previous one', steps: [{atMs: 0, receives: 3}, {atMs: 100, registryHas: 3}, {atMs: 100, peerHas: 4}], version: 3, lagMs: 900,
		},
	])('reports how long a newer configuration has been missing when it $name', ({steps, version, lagMs}) => {
		let now = 0;
		const view = new SiteView({clock: {now: () => now}, logger: silentLogger});
		for (const {atMs, receives, peerHas, registryHas} of steps) {
			now = atMs;
			if (receives !== undefined) {
				view.offerConfiguration({
					version: receives,
					routes: [],
					services: [],
					limits: {
						headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
					},
				}, 0);
			}

			if (peerHas !== undefined) {
				view.offerPeerView({view: createPeerView(peerHas)});
			}

			if (registryHas !== undefined) {
				view.confirmConfiguration(registryHas, 0);
			}
		}

		now = 1000;
		expect(view.configuration?.version).toBe(version);
		expect(view.configurationLagMs).toBe(lagMs);
	});

	// Guards against news that no instance passes on before it has the configuration, and against a version that does not exist and is passed on without end.
	it('passes on that a newer configuration exists until it has it or the registry has shown that there is none', () => {
		const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
		const offer = (version: number) => {
			view.offerConfiguration({
				version, routes: [], services: [], limits: {
					headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
				},
			}, 0);
		};

		const passedOn: Array<number | undefined> = [];
		view.onVersionChange(({newestConfiguration}) => {
			passedOn.push(newestConfiguration);
		});
		offer(3);
		view.offerPeerView({view: {...createPeerView(3), newestConfiguration: 5}});
		view.offerPeerView({view: {...createPeerView(3), newestConfiguration: 5}});
		view.offerPeerView({view: createPeerView(6)});
		expect(passedOn).toEqual([undefined, 5, 6]);
		offer(6);
		expect(view.version.newestConfiguration).toBeUndefined();
		view.offerPeerView({view: {...createPeerView(6), newestConfiguration: 9}});
		expect(view.version.newestConfiguration).toBe(9);
		view.confirmConfiguration(6, -1);
		expect(view.version.newestConfiguration).toBeUndefined();
	});

	// Guards against requests to a leaving target whose older record the registry writes late.
	it.each([
		['ready again for the same start', {startedAt: 1}, true],
		['ready for a later start', {startedAt: 2}, false],
	])('calls a target that was draining %s', (_name, record, isLeaving) => {
		const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
		view.offerTargets({revision: 1, targets: [{...gatewayTarget, revision: 1, isLeaving: true}]}, 0);
		view.offerTargets({revision: 2, targets: [{...gatewayTarget, revision: 2, ...record}]}, 0);
		expect(view.targets.map(target => target.isLeaving)).toEqual([isLeaving]);
	});

	const createHeldView = () => {
		const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
		view.offerTargets({revision: 9000, targets: [{...gatewayTarget, id: 'i-held'}]}, 5000);
		view.acceptTargets({revision: 200, targets: [{...gatewayTarget, id: 'i-held'}]}, 4000);
		return view;
	};

	// Guards against a peer's list that undoes a lower revision which this instance has accepted, and against one that stays behind.
	it.each([
		{
			name: 'a higher generation', peer: {targets: 100, targetsGeneration: 2}, since: 0, held: ['i-peer'], version: [100, 2], ageMs: 0,
		},
		{
			name: 'a higher generation, of which it sends only changes', peer: {targets: 100, targetsGeneration: 2}, since: 90, held: ['i-held'], version: [200, 1], ageMs: 4000,
		},
		{
			name: 'the same generation and a higher revision', peer: {targets: 300, targetsGeneration: 1}, since: 0, held: ['i-peer'], version: [300, 1], ageMs: 0,
		},
		{
			name: 'the same generation and a lower revision', peer: {targets: 100, targetsGeneration: 1}, since: 0, held: ['i-held'], version: [200, 1], ageMs: 4000,
		},
		{
			name: 'a lower generation and a higher revision', peer: {targets: 9000, targetsGeneration: 0}, since: 0, held: ['i-held'], version: [200, 1], ageMs: 4000,
		},
		{
			name: 'a lower generation and the same revision', peer: {targets: 200, targetsGeneration: 0}, since: 0, held: ['i-held'], version: [200, 1], ageMs: 4000,
		},
		{
			name: 'no generation, as the previous version sends it', peer: {targets: 9000}, since: 0, held: ['i-held'], version: [200, 1], ageMs: 4000,
		},
	])('takes from a peer with $name: $held', ({peer, since, held, version, ageMs}) => {
		const view = createHeldView();
		const changed = [{...gatewayTarget, id: 'i-peer', revision: peer.targets}];
		view.offerPeerView({view: {...createPeerView(0), ...peer}, targets: {since, changed, removed: []}});
		expect(view.targets.map(({id}) => id)).toEqual(held);
		expect([view.version.targets, view.version.targetsGeneration]).toEqual(version);
		expect(view.targetsAgeMs).toBe(ageMs);
	});

	it.each([
		{
			name: 'a lower generation', peer: {targets: 9000, targetsGeneration: 0}, lacks: true,
		},
		{
			name: 'the same generation and a lower revision', peer: {targets: 100, targetsGeneration: 1}, lacks: true,
		},
		{
			name: 'the same list', peer: {targets: 200, targetsGeneration: 1}, lacks: false,
		},
		{
			name: 'a higher generation', peer: {targets: 100, targetsGeneration: 2}, lacks: false,
		},
		{
			name: 'no generation and a higher revision, which would refuse the list again and again', peer: {targets: 9000}, lacks: false,
		},
		{
			name: 'no generation and a lower revision', peer: {targets: 100}, lacks: true,
		},
	])('sends its list to a peer with $name: $lacks', ({peer, lacks}) => {
		expect(createHeldView().hasNewerTargets({...createPeerView(0), ...peer})).toBe(lacks);
	});

	it('tells a peer of the previous version with a higher revision that revision and age, so that it neither sends its list nor takes it for confirmed', () => {
		const peer = {...createPeerView(0), targets: 9000, targetsAgeMs: 7000};
		expect(createHeldView().createVersionFor(peer)).toMatchObject({targets: 9000, targetsAgeMs: 7000});
		expect(createHeldView().createVersionFor({...peer, targetsGeneration: 0})).toMatchObject({targets: 200, targetsAgeMs: 4000});
	});

	it('sends the complete list to a peer whose revision is of another generation', () => {
		const view = createHeldView();
		expect(view.collectTargetChanges({...createPeerView(0), targets: 200, targetsGeneration: 0}).since).toBe(0);
		expect(view.collectTargetChanges({...createPeerView(0), targets: 200, targetsGeneration: 1}).since).toBe(200);
	});

	// Guards against requests to a target that left, which a restored registry lists as ready.
	it('calls a target that was draining leaving, although the list that replaces it says ready', () => {
		const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
		view.offerTargets({revision: 9, targets: [{...gatewayTarget, revision: 9, isLeaving: true}]}, 0);
		view.acceptTargets({revision: 2, targets: [{...gatewayTarget, revision: 1}]}, 0);
		expect(view.targets.map(target => target.isLeaving)).toEqual([true]);
	});

	it('follows the record of a target that states no start', () => {
		const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
		view.offerTargets({
			revision: 1, targets: [{
				...gatewayTarget, revision: 1, startedAt: 0, isLeaving: true,
			}],
		}, 0);
		view.offerTargets({revision: 2, targets: [{...gatewayTarget, revision: 2, startedAt: 0}]}, 0);
		expect(view.targets.map(target => target.isLeaving)).toEqual([false]);
	});

	// Guards against a change that is missed for good since a confirmation of the previous version, sent before the change, arrived after its announcement.
	it('goes on to report a missing version after a peer with the previous one was heard later', () => {
		let now = 0;
		const view = new SiteView({clock: {now: () => now}, logger: silentLogger});
		view.offerConfiguration({
			version: 3,
			routes: [],
			services: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
			},
		}, 0);
		now = 100;
		view.offerPeerView({view: createPeerView(4)});
		now = 105;
		view.offerPeerView({view: createPeerView(3)});
		now = 700;
		view.offerPeerView({view: createPeerView(4)});
		now = 1000;
		expect(view.configurationLagMs).toBeGreaterThan(0);
	});
});
