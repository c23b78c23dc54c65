/** Highest scarcity level of a service. */
export const maxScarcityLevel = 4;
