import {z} from 'zod';
import type {FieldRow} from './field-row.js';

/** The JSON Schema keywords that the tables show. */
type SchemaNode = {
	readonly type?: string;
	readonly description?: string;
	readonly default?: unknown;
	readonly enum?: readonly unknown[];
	readonly minimum?: number;
	readonly maximum?: number;
	readonly minItems?: number;
	readonly maxItems?: number;
	readonly pattern?: string;
	readonly format?: string;
	readonly properties?: Readonly<Record<string, SchemaNode>>;
	readonly required?: readonly string[];
	readonly items?: SchemaNode;
	readonly additionalProperties?: SchemaNode | false;
};

const describeRange = (minimum: number | undefined, maximum: number | undefined): string => {
	if (minimum !== undefined && maximum !== undefined) {
		return ` ${minimum} to ${maximum}`;
	}

	return minimum === undefined ? '' : ` from ${minimum}`;
};

const describeType = (node: SchemaNode): string => {
	if (node.enum !== undefined) {
		return node.enum.map(value => `\`${String(value)}\``).join(', ');
	}

	if (node.type === 'array') {
		return `list${describeRange(node.minItems, node.maxItems)} of ${node.items?.enum === undefined ? (node.items?.type ?? 'any') : describeType(node.items)}`;
	}

	const pattern = node.pattern === undefined || node.format !== undefined ? '' : ` \`${node.pattern}\``;
	return `${node.format === 'uri' ? 'URL' : (node.type ?? 'any')}${describeRange(node.minimum, node.maximum)}${pattern}`;
};

const collectFields = (node: SchemaNode, path: string, isRequired: boolean, rows: FieldRow[]): void => {
	const isObject = node.properties !== undefined;
	if (path !== '' && (!isObject || node.description !== undefined)) {
		rows.push({
			path,
			type: describeType(node),
			default: node.default === undefined ? (isRequired ? 'required' : 'absent') : `\`${JSON.stringify(node.default)}\``,
			description: node.description ?? '',
		});
	}

	for (const [name, child] of Object.entries(node.properties ?? {})) {
		collectFields(child, path === '' ? name : `${path}.${name}`, node.required?.includes(name) ?? false, rows);
	}

	if (node.items?.properties !== undefined) {
		collectFields(node.items, `${path}[]`, true, rows);
	}

	if (typeof node.additionalProperties === 'object' && node.additionalProperties.properties !== undefined) {
		collectFields(node.additionalProperties, `${path}.<name>`, true, rows);
	}
};

/** Lists every field of a schema, depth first; an object has a row of its own only where it has a description. */
export const listFields = (schema: z.ZodType): FieldRow[] => {
	const rows: FieldRow[] = [];
	collectFields(z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any', reused: 'inline'}) as SchemaNode, '', true, rows);
	return rows;
};
