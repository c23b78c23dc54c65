import {expect, it} from 'vitest';
import {entrySettingsSchema} from '../src/common/entry-settings-schema.js';
import {parametersSchema} from '../src/common/parameters-schema.js';
import {serviceSpecSchema} from '../src/common/service-spec-schema.js';
import {templateSchema} from '../src/common/template-schema.js';
import {formatErrorsPage} from '../tools/docs/format-errors-page.js';
import {formatSettingsPage} from '../tools/docs/format-settings-page.js';
import {formatTemplatesPage} from '../tools/docs/format-templates-page.js';
import {listFields} from '../tools/docs/list-fields.js';

it.each([
	{page: 'SETTINGS.md', format: formatSettingsPage},
	{page: 'TEMPLATES.md', format: formatTemplatesPage},
	{page: 'ERRORS.md', format: formatErrorsPage},
])('docs/$page is up to date with the code', async ({page, format}) => {
	await expect(format()).toMatchFileSnapshot(`../docs/${page}`);
});

it.each([
	{name: 'settings', schema: entrySettingsSchema},
	{name: 'template', schema: templateSchema},
	{name: 'parameters', schema: parametersSchema},
	{name: 'service', schema: serviceSpecSchema},
])('every field of the $name schema has a description', ({schema}) => {
	expect(listFields(schema).filter(row => row.description === '').map(row => row.path)).toEqual([]);
});
