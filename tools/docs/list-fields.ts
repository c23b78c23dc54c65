import {z} from 'zod';
import type {FieldRow} from './field-row.js';

type Node = {
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
	readonly properties?: Readonly<Record<string, Node>>;
	readonly required?: readonly string[];
	readonly items?: Node;
	readonly additionalProperties?: Node | false;
};

const describeRange = (low: number | undefined, high: number | undefined): string => {
	if (low !== undefined && high !== undefined) {
		return ` ${low} to ${high}`;
	}

	return low === undefined ? '' : ` from ${low}`;
};

const describeType = (node: Node): string => {
	if (node.enum !== undefined) {
		return node.enum.map(value => `\`${String(value)}\``).join(', ');
	}

	if (node.type === 'array') {
		return `list${describeRange(node.minItems, node.maxItems)} of ${node.items?.enum === undefined ? (node.items?.type ?? 'any') : describeType(node.items)}`;
	}

	const pattern = node.pattern === undefined || node.format !== undefined ? '' : ` \`${node.pattern}\``;
	return `${node.format === 'uri' ? 'URL' : (node.type ?? 'any')}${describeRange(node.minimum, node.maximum)}${pattern}`;
};

const collectFields = (node: Node, path: string, isRequired: boolean, rows: FieldRow[]): void => {
	const isGroup = node.properties !== undefined;
	if (path !== '' && (!isGroup || node.description !== undefined)) {
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

/** Lists every field of a schema with type, default and description. */
export const listFields = (schema: z.ZodType): FieldRow[] => {
	const rows: FieldRow[] = [];
	collectFields(z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any', reused: 'inline'}) as Node, '', true, rows);
	return rows;
};
