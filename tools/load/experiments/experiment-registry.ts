import type {Experiment} from '../experiment.js';
import {blockingExperiment} from './blocking.js';
import {crestExperiment} from './crest.js';
import {disseminationExperiment} from './dissemination.js';
import {faultsExperiment} from './faults.js';
import {misleadExperiment} from './mislead.js';
import {overheadExperiment} from './overhead.js';
import {peerCallsExperiment} from './peer-calls.js';
import {probeCostExperiment} from './probe-cost.js';
import {slopesExperiment} from './slopes.js';
import {tailExperiment} from './tail.js';

/** All experiments, in the order of `rattansill-load list`. */
export const experimentRegistry: readonly Experiment[] = [
	overheadExperiment,
	tailExperiment,
	probeCostExperiment,
	crestExperiment,
	blockingExperiment,
	misleadExperiment,
	faultsExperiment,
	disseminationExperiment,
	slopesExperiment,
	peerCallsExperiment,
];
