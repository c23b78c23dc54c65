import type {ProxyFaultKind} from './proxy-fault-kind.js';

/** One fault of the fault proxy. */
export type ProxyFault =
	| {readonly kind: ProxyFaultKind.Refuse}
	| {readonly kind: ProxyFaultKind.Reset}
	| {readonly kind: ProxyFaultKind.Delay; readonly delayMs: number}
	| {readonly kind: ProxyFaultKind.Cut; readonly afterBytes: number}
	| {readonly kind: ProxyFaultKind.Swallow};
