/** How long a request occupies a slot; `Learned` is resolved at run time from past requests of the rule. */
export enum RequestSize {
	Short = 'short',
	Long = 'long',
	Learned = 'learned',
}
