/**
 * Formatter and linter settings: XO's rules, the import layers of docs/ARCHITECTURE.md
 * and the project rules on exports and platform names.
 */

const onePerFile = {
	meta: {type: 'suggestion', schema: [], messages: {many: 'A file must not have more than one export.'}},
	create(context) {
		const found = [];
		const record = node => {
			found.push(node);
		};

		return {
			ExportNamedDeclaration: record,
			ExportDefaultDeclaration: record,
			ExportAllDeclaration: record,
			'Program:exit'() {
				for (const node of found.slice(1)) {
					context.report({node, messageId: 'many'});
				}
			},
		};
	},
};

/** Headers, keys, paths and fields that the users' platform defines; only the adapter in `platform/` may use them. */
const platformWords = /attempt-id|deadline-ms|response-signature|target-instance|instance-id|server-(?:load|leaving)|warmup-ms|not-executed|op\/config|kv-(?:key|range|watch)|\/v1\/re(?:solve|adiness)|trafficSplit|targetLatencyMs|storeRevision/iv;

const noPlatformWords = {
	meta: {type: 'problem', schema: [], messages: {word: '"{{word}}" is defined by the users\' platform and may be used in platform/ only.'}},
	create: context => ({
		Program(node) {
			const found = platformWords.exec(context.sourceCode.text);
			if (found !== null) {
				context.report({
					node, loc: context.sourceCode.getLocFromIndex(found.index), messageId: 'word', data: {word: found[0]},
				});
			}
		},
	}),
};

const restrictImports = layers => ['error', {
	patterns: layers.map(({group, message}) => ({group, message})),
}];

const ioModules = {group: ['node:*', 'undici', 'ws', '@trpc/*', 'debug', 'hot-shots', '@opentelemetry/*'], message: 'This layer must not do I/O.'};
const outerLayers = {group: ['**/controllers/**', '**/filters/**', '**/io/**', '**/bin/**', '**/tools/**'], message: 'Inner layers must not import outer layers.'};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'coverage/**', 'examples/**']},
	{
		files: ['**/*.{js,ts}'],
		plugins: {house: {rules: {'one-export': onePerFile, 'platform-words': noPlatformWords}}},
		rules: {
			'house/one-export': 'error',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Methods that implement an interface may need no state.
			'class-methods-use-this': 'off',
			// Watches, retries and polls are sequential.
			'no-await-in-loop': 'off',
			// The factories of the command line library are capitalized and called without `new`.
			'new-cap': ['error', {newIsCap: true, capIsNewExceptions: ['Option.String', 'Option.Boolean', 'Option.Array', 'Option.Rest', 'Command.Usage']}],
		},
	},
	{
		files: ['src/**/*.ts'],
		rules: {'house/platform-words': 'error'},
	},
	{
		files: ['src/common/**/*.ts'],
		ignores: ['**/*.test.ts'],
		rules: {'no-restricted-imports': restrictImports([ioModules, outerLayers, {group: ['**/policy/**'], message: 'The common layer must not import other layers.'}])},
	},
	{
		files: ['src/policy/**/*.ts'],
		ignores: ['**/*.test.ts'],
		rules: {'no-restricted-imports': restrictImports([ioModules, outerLayers])},
	},
	{
		files: ['src/{controllers,filters,io,bin}/**/*.ts'],
		ignores: ['**/*.test.ts'],
		rules: {'no-restricted-imports': restrictImports([{group: ['**/tools/**'], message: 'The product must not import tools.'}])},
	},
];

export default config;
