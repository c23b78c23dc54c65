import {errorResponses} from '../../src/common/error-responses.js';
import {ErrorKind} from '../../src/common/error-kind.js';

/** Formats docs/ERRORS.md from the table of error responses. */
export const formatErrorsPage = (): string => {
	const rows = Object.values(ErrorKind).map(kind => {
		const {status, outcome, retryAfterSeconds, title} = errorResponses[kind];
		return `| \`${kind}\` | ${status} | ${outcome} | ${retryAfterSeconds === undefined ? '' : `${retryAfterSeconds} s`} | ${title} |`;
	});
	return `# Errors

Answers that the system gives itself. Each is a problem document (RFC 9457, \`application/problem+json\`) with \`type\`
(\`urn:rattansill:error:<kind>\`), \`title\`, \`status\`, \`detail\` and \`outcome\`; the header \`Rattansill-Outcome\` repeats the
outcome. An answer without that header is the target's own. \`not run\` is only said with proof that no target ran the
request; otherwise the outcome is \`unknown\`. Retry-After is the default; a predicted wait takes its place. This page is
generated from \`src/common/error-responses.ts\` (\`npx vitest run test/docs-pages.test.ts -u\`).

| Kind | Status | Outcome | Retry-After | Title |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`;
};
