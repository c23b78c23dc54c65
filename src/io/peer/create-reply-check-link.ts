import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import type {PeerRouter} from './peer-router.js';
import {replySchemas} from './reply-schemas.js';

/** Creates a tRPC link that fails a call whose answer does not have the types of its procedure, so that no caller sees it. */
export const createReplyCheckLink = (): TRPCLink<PeerRouter> => () => ({op, next}) => observable(observer => next(op).subscribe({
	next(value) {
		const {result} = value;
		const schema = replySchemas.get(op.path);
		if (schema === undefined || result.type === 'started' || result.type === 'stopped' || result.type === 'state') {
			observer.next(value);
			return;
		}

		const checked = schema.safeParse(result.data);
		if (checked.success) {
			observer.next({...value, result: {...result, data: checked.data}});
		} else {
			const [issue] = checked.error.issues;
			observer.error(TRPCClientError.from(new TypeError(`the answer of ${op.path} is invalid at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? ''}`)));
		}
	},
	error(error) {
		observer.error(error);
	},
	complete() {
		observer.complete();
	},
}));
