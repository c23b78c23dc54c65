/** Occupied share of its slots above which a target slows down, and by how much; figures of the users' sites, see docs/design/platform.md. */
export const knee = {share: 0.8, factor: 1.7} as const;
