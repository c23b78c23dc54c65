import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {computeTextHash} from './compute-text-hash.js';
import {NeighbourChooser} from './neighbour-chooser.js';

const createFleet = (size: number, domains: number): GatewayMember[] => Array.from({length: size}, (_item, index) => ({
	id: `i-${index}`, failureDomain: `z-${index % domains}`, dataAddress: '', peerAddress: '', cores: 1, incarnation: 1, revision: 0, state: MemberState.Running, isServing: true, canRead: true,
}));

const chooseNeighbours = (fleet: readonly GatewayMember[], self: Pick<GatewayMember, 'id' | 'failureDomain'>) => new NeighbourChooser(self).chooseNeighbours(fleet);

const findMember = (fleet: readonly GatewayMember[], id: string) => fleet.find(member => member.id === id) ?? {id, failureDomain: ''};

/** Instances that a change at one instance reaches, each with its number of hops. */
const spreadFrom = (fleet: readonly GatewayMember[], running: ReadonlySet<string>, first: string): Map<string, number> => {
	const steps = new Map([[first, 0]]);
	const queue = [first];
	for (let id = queue.shift(); id !== undefined; id = queue.shift()) {
		for (const neighbour of chooseNeighbours(fleet, findMember(fleet, id)).all) {
			if (running.has(neighbour.id) && !steps.has(neighbour.id)) {
				steps.set(neighbour.id, (steps.get(id) ?? 0) + 1);
				queue.push(neighbour.id);
			}
		}
	}

	return steps;
};

describe('NeighbourChooser', () => {
	it.each([
		{
			size: 1, domains: 1, most: 0, steps: 0,
		},
		{
			size: 2, domains: 1, most: 1, steps: 1,
		},
		{
			size: 18, domains: 4, most: 6, steps: 6,
		},
		{
			size: 125, domains: 4, most: 6, steps: 10,
		},
		{
			size: 300, domains: 14, most: 6, steps: 14,
		},
	])('links $size instances of $domains domains to at most $most each, $steps hops from end to end', ({size, domains, most, steps}) => {
		const fleet = createFleet(size, domains);
		const all = new Set(fleet.map(({id}) => id));
		const reached = spreadFrom(fleet, all, 'i-0');
		expect(reached.size).toBe(size);
		expect(Math.max(...reached.values())).toBeLessThanOrEqual(steps);
		for (const {id} of fleet) {
			expect(chooseNeighbours(fleet, findMember(fleet, id)).all.length).toBeLessThanOrEqual(most);
		}
	});

	it.each([1, 2, 3, 7, 40, 125])('links %i instances both ways: each instance is a neighbour of its successors', size => {
		const fleet = createFleet(size, 4);
		for (const member of fleet) {
			const {successors, all} = chooseNeighbours(fleet, member);
			expect(all.every(({id}) => id !== member.id)).toBe(true);
			expect(successors.length).toBeLessThanOrEqual(Math.min(size - 1, 3));
			expect(successors.length).toBeGreaterThanOrEqual(Math.min(1, size - 1));
			for (const successor of successors) {
				expect(chooseNeighbours(fleet, successor).all.map(({id}) => id)).toContain(member.id);
			}
		}
	});

	it('spreads the neighbours of instances that shut down instead of giving all the same few', () => {
		const fleet = createFleet(125, 4);
		const neighbourCounts = new Map<string, number>();
		for (let index = 0; index < 50; index++) {
			for (const {id} of chooseNeighbours(fleet, {id: `ended-${index}`, failureDomain: `z-${index % 4}`}).all) {
				neighbourCounts.set(id, (neighbourCounts.get(id) ?? 0) + 1);
			}
		}

		expect(Math.max(...neighbourCounts.values())).toBeLessThanOrEqual(12);
	});

	it('chooses the same neighbours as a new chooser after the fleet has changed', () => {
		const self = {id: 'i-0', failureDomain: 'z-0'};
		const chooser = new NeighbourChooser(self);
		for (const size of [125, 20, 3, 125, 60]) {
			const fleet = createFleet(size, 4);
			expect(chooser.chooseNeighbours(fleet)).toEqual(chooseNeighbours(fleet, self));
		}
	});

	it('reaches nearly all others before the loss of a third of the fleet is detected', () => {
		const fleet = createFleet(125, 4);
		const running = new Set(fleet.map(({id}) => id).filter(id => id === 'i-0' || computeTextHash(`lost ${id}`) % 3 > 0));
		expect(spreadFrom(fleet, running, 'i-0').size).toBeGreaterThanOrEqual(running.size * 0.95);
	});
});
