/** How long a request occupies a slot; `Learned` is resolved at run time from the rule's history. */
export enum RequestSize {
	Short = 'short',
	Long = 'long',
	Learned = 'learned',
}
