/** Holds a resource until it is disposed; disposing again has no effect. */
export type DisposableLike = {
	dispose(): void;
};
