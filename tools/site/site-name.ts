/** Example sites whose services are described in `examples`. */
export enum SiteName {
	Wigroom = 'wigroom',
	Urdaneta = 'urdaneta',
}
