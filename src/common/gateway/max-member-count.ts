/** Largest incarnation and revision in a record of a member; numbers above it come from damaged records and leave no room to count on. */
export const maxMemberCount = 2 ** 52;
