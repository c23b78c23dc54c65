import {parametersSchema} from '../../src/common/parameters-schema.js';
import {serviceSpecSchema} from '../../src/common/service-spec-schema.js';
import {templateSchema} from '../../src/common/template-schema.js';
import {formatFieldTable} from './format-field-table.js';
import {listFields} from './list-fields.js';

/** Formats docs/TEMPLATES.md from the schemas of templates, parameters and services. */
export const formatTemplatesPage = (): string => `# Templates and parameters

A template describes a kind of service; a team's parameters fill it in for one service. Both are JSON values of the
configuration service, below the prefix \`rattansill\`: \`templates/<name>\` and \`parameters/<service>\`. Each is checked whole: a
bad value leaves the last good one in force and shows an error that names the field. This page is generated from the
schemas (\`npx vitest run test/docs-pages.test.ts -u\`).

\`\`\`sh
node dist/src/bin/rattansill-check.js services --templates examples/templates --parameters examples/parameters \\
  --request "POST /bookings"
\`\`\`

renders them, names every refused value, and says which rule applies to a request.

## Template

Any value below \`service\` may be \`{"parameter": "name"}\`, which is replaced by the team's value or the parameter's default.

${formatFieldTable(listFields(templateSchema))}

## Parameters

${formatFieldTable(listFields(parametersSchema))}

## Service

The fields below \`service\` of a template, and what a rendered service consists of; \`name\`, \`team\` and \`template\` come from
the parameters. Limits "a target" hold for all entry instances together.

${formatFieldTable(listFields(serviceSpecSchema))}

## Which rule applies

The first rule whose methods contain the request's method and whose \`pathPrefix\` the path begins with; the query does not
count. A path that a target may read differently (percent-encoding, empty or dot segments, path parameters, backslashes)
is also matched as the most lenient target would read it, and a method also as an override header
(\`X-HTTP-Method-Override\`, \`X-Method-Override\`, \`X-HTTP-Method\`) would have it: every reading must match a rule, and where
they differ a rule that is not idempotent applies. Without a rule the request is refused with 405.

## Examples

\`examples/templates\` and \`examples/parameters\` hold the eight services of both sites.

| Service | Template | Team |
| --- | --- | --- |
| lacefront | catalogue | morant |
| chairbook | orders | morant |
| showvault | archive | morant |
| shadecard | reference | morant |
| catalogo | catalogue | urdaneta |
| encargos | orders | urdaneta |
| archivo | archive | urdaneta |
| vientos | reference | urdaneta |
`;
