import type {HeaderVocabulary} from '../../src/common/gateway/header-vocabulary.js';

/** Header names of a site that differ from those of any platform. */
export const gatewayHeaders: HeaderVocabulary = {
	requestId: 'x-id',
	timeoutMs: 'x-timeout',
	signature: 'x-signature',
	expectedTarget: 'x-target',
	targetId: 'x-target-id',
	load: 'x-load',
	notRun: 'x-not-run',
	leaving: 'x-leaving',
	warmUp: 'x-warm-up',
};
