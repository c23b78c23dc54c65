/** Something that holds a resource and gives it back when disposed; disposing twice has no further effect. */
export type DisposableLike = {
	dispose(): void;
};
