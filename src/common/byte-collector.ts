/** Sizes of the blocks, in bytes: as much as was collected before, within these bounds. */
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;

/** Collects pieces of bytes in blocks, so that a body takes about the same memory whether it arrives in few pieces or in many. */
export class ByteCollector {
	private readonly _fullBlocks: Uint8Array[] = [];
	private _block: Uint8Array<ArrayBuffer>;
	private _blockLength = 0;
	private _length = 0;
	private _capacity: number;

	/** @param expectedBytes - Length that the pieces are expected to have together, if known. */
	constructor(expectedBytes = 0) {
		this._block = new Uint8Array(expectedBytes);
		this._capacity = expectedBytes;
	}

	/** Number of bytes collected. */
	get length(): number {
		return this._length;
	}

	/** Computes the memory that the blocks will take with another piece, in bytes. */
	computeCapacity(pieceBytes: number): number {
		const missingBytes = pieceBytes - (this._block.length - this._blockLength);
		return missingBytes <= 0 ? this._capacity : this._capacity + Math.max(missingBytes, minBlockBytes, Math.min(maxBlockBytes, this._length));
	}

	/** Appends a copy of a piece. */
	add(piece: Uint8Array): void {
		const freeBytes = this._block.length - this._blockLength;
		const head = piece.subarray(0, freeBytes);
		const rest = piece.subarray(freeBytes);
		const capacity = this.computeCapacity(piece.length);
		this._block.set(head, this._blockLength);
		this._blockLength += head.length;
		if (rest.length > 0) {
			if (this._blockLength > 0) {
				this._fullBlocks.push(this._block);
			}

			this._block = new Uint8Array(capacity - this._capacity);
			this._block.set(rest);
			this._blockLength = rest.length;
			this._capacity = capacity;
		}

		this._length += piece.length;
	}

	/** Lists the collected bytes without copying them. */
	listBlocks(): Uint8Array[] {
		return [...this._fullBlocks, this._block.subarray(0, this._blockLength)].filter(({length}) => length > 0);
	}

	/** Drops the collected bytes, so that whoever still references the collector does not keep them in memory. */
	clear(): void {
		this._fullBlocks.length = 0;
		this._block = new Uint8Array(0);
		this._blockLength = 0;
		this._length = 0;
		this._capacity = 0;
	}

	/** Merges the collected bytes; copies them unless they are in one block. */
	mergeBlocks(): Uint8Array<ArrayBuffer> {
		const last = this._block.subarray(0, this._blockLength);
		if (this._fullBlocks.length === 0) {
			return last;
		}

		const merged = new Uint8Array(this._length);
		let offset = 0;
		for (const block of this.listBlocks()) {
			merged.set(block, offset);
			offset += block.length;
		}

		return merged;
	}
}
