/** Priority class of a request. */
export enum RequestClass {
	Interactive = 'interactive',
	Booking = 'booking',
	Deferrable = 'deferrable',
}
