import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import {FixedHedgeSource} from './fixed-hedge-source.js';
import type {HedgeSource} from './hedge-source.js';
import {LimitedHedgeSource} from './limited-hedge-source.js';
import type {PlacementController} from './placement-controller.js';
import type {SiteView} from './site-view.js';

type HedgeSourceOptions = {
	/** Hedges allowed per request of a service; undefined when the retry budget alone limits them. */
	readonly ratio: number | undefined;
	readonly placement: PlacementController;
	readonly view: SiteView;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Creates the source of hedges that the settings ask for. */
export const createHedgeSource = ({ratio, ...options}: HedgeSourceOptions): HedgeSource =>
	ratio === undefined ? new FixedHedgeSource(options) : new LimitedHedgeSource({...options, ratio});
