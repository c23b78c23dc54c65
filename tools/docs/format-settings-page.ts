import {entrySettingsSchema} from '../../src/common/entry-settings-schema.js';
import {formatFieldTable} from './format-field-table.js';
import {listFields} from './list-fields.js';

/** Formats docs/SETTINGS.md from the schema of the entry settings. */
export const formatSettingsPage = (): string => `# Settings of rattansill-entry

One JSON file, given by \`--settings\`. The schema is \`src/common/entry-settings-schema.ts\`; this page is generated from it
(\`npx vitest run test/docs-pages.test.ts -u\`). Names that end in \`Ms\` are in ms, in \`Bytes\` in bytes. A key that is not
listed is refused. \`rattansill-check settings FILE\` checks a file and prints it with the defaults filled in; an error names
file, key, value and what is allowed, and the process exits with 2. \`examples/settings\` holds two files to start from.

${formatFieldTable(listFields(entrySettingsSchema))}
`;
