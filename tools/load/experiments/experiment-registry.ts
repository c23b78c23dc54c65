import type {Experiment} from '../experiment.js';
import {faultsExperiment} from './faults.js';
import {disseminationExperiment} from './dissemination.js';
import {overheadExperiment} from './overhead.js';
import {slopesExperiment} from './slopes.js';

/** All experiments, in the order in which they are listed. */
export const experimentRegistry: readonly Experiment[] = [
	overheadExperiment,
	faultsExperiment,
	disseminationExperiment,
	slopesExperiment,
];
