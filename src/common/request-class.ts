/** How urgently a request is served. */
export enum RequestClass {
	Interactive = 'interactive',
	Booking = 'booking',
	Deferrable = 'deferrable',
}
