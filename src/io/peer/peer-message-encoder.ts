import {z} from 'zod';

/** The client numbers its calls. */
const idSchema = z.int().min(0);
const messageSchema = z.union([
	z.object({id: z.null(), method: z.string()}),
	z.object({id: idSchema, result: z.looseObject({type: z.enum(['started', 'data', 'stopped'])})}),
	z.object({id: idSchema.nullable(), error: z.looseObject({code: z.number(), message: z.string()})}),
]);
const answerSchema = z.object({id: idSchema});

/** JSON-RPC code of an invalid message. */
const invalidCode = -32_600;

const parseText = (data: unknown): unknown => {
	try {
		return typeof data === 'string' ? JSON.parse(data) as unknown : undefined;
	} catch {
		return undefined;
	}
};

/**
Decodes a message of a peer and never throws, since an exception in the client of the library ends the process. An invalid answer becomes a
failure of its call; what names no call becomes a message that the library ignores.
*/
const decodeMessage = (data: unknown): unknown => {
	const value = parseText(data);
	const checked = messageSchema.safeParse(value);
	if (checked.success) {
		return checked.data;
	}

	const answer = answerSchema.safeParse(value);
	return answer.success ? {id: answer.data.id, error: {code: invalidCode, message: 'the message of the peer is invalid', data: {}}} : {};
};

/** Encoder of the messages between entry instances: JSON, checked when it is decoded. */
export const peerMessageEncoder = {encode: (data: unknown): string => JSON.stringify(data), decode: decodeMessage};
