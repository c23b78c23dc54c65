/** What a worker process of stand-in targets is told. */
export enum TargetCommandKind {
	Start = 'start',
	SetBehavior = 'set-behavior',
	ReadFigures = 'read-figures',
	ReadRecords = 'read-records',
	ClearLedgers = 'clear-ledgers',
	Stop = 'stop',
}
