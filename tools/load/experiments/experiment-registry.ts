import type {Experiment} from '../experiment.js';
import {faultsExperiment} from './faults.js';
import {overheadExperiment} from './overhead.js';

/** All experiments, in the order in which they are listed. */
export const experimentRegistry: readonly Experiment[] = [
	overheadExperiment,
	faultsExperiment,
];
