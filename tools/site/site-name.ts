/** The sites of the brief. */
export enum SiteName {
	Wigroom = 'wigroom',
	Urdaneta = 'urdaneta',
}
