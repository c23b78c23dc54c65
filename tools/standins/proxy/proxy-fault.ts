import type {ProxyFaultKind} from './proxy-fault-kind.js';

/** A fault that the fault proxy injects, with its parameters; `delayMs` is per chunk, `afterBytes` per connection. */
export type ProxyFault =
	| {readonly kind: ProxyFaultKind.Refuse}
	| {readonly kind: ProxyFaultKind.Reset}
	| {readonly kind: ProxyFaultKind.Delay; readonly delayMs: number}
	| {readonly kind: ProxyFaultKind.Truncate; readonly afterBytes: number}
	| {readonly kind: ProxyFaultKind.Blackhole};
