/** Pieces that any body may have; each takes processor time whatever its length. */
const minPieceLimit = 16_384;
/** Average length of a piece from which on the number of pieces is not limited, in bytes. */
const minAverageBytes = 64;

/** Whether a body arrives in so many small pieces that reading it would hold up the other requests. Answers bodies in chunks of some bytes, which take a thousand times the processor time of others. */
export const hasTooManyPieces = (pieceCount: number, byteCount: number): boolean => pieceCount > minPieceLimit + (byteCount / minAverageBytes);
