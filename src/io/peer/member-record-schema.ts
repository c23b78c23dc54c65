import {z} from 'zod';
import {instanceSchema} from '../../common/instance-schema.js';
import {MemberState} from '../../common/member-state.js';

/** Schema of a member record as peers send it. */
export const memberRecordSchema = z.object({
	instance: instanceSchema,
	incarnation: z.number().min(0),
	sequence: z.int().min(0),
	state: z.enum(MemberState),
	canRead: z.boolean(),
});
