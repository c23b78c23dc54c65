/** Kinds of commands to a worker process of stand-in targets. */
export enum TargetCommandKind {
	Start = 'start',
	SetBehavior = 'set-behavior',
	ReadStats = 'read-figures',
	ReadRecords = 'read-records',
	ClearLedgers = 'clear-ledgers',
	Stop = 'stop',
}
