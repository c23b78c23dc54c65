import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Collects all garbage, so that a weak reference shows whether an object is still referenced. */
export const collectGarbage = (): void => {
	collect();
};
