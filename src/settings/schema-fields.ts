import {toJSONSchema, type JSONSchema, type $ZodType} from 'zod/v4/core';
import {maxDurationMs} from './max-duration-ms.js';

/** One field of a settings schema, as the documentation and the error messages show it. */
export type SchemaField = Readonly<{
	name: string;
	description: string;
	type: string;
	required: boolean;
	default: unknown;
	minimum: number | undefined;
	maximum: number | undefined;
	fields: readonly SchemaField[];
	/** Fields of the items, when the field is a list of objects. */
	itemFields: readonly SchemaField[];
}>;

type JsonSchema = JSONSchema.BaseSchema;

/**
Returns the fields of a settings schema with descriptions, bounds and defaults.

@example
schemaFields(z.strictObject({port: z.int().describe('Port')}))[0]?.description;
// => 'Port'
*/
export function schemaFields(schema: $ZodType): readonly SchemaField[] {
	return fieldsOf(toJSONSchema(schema, {io: 'input', unrepresentable: 'any', reused: 'inline'}));
}

function fieldsOf(schema: JsonSchema | undefined): readonly SchemaField[] {
	return Object.entries(schema?.properties ?? {}).flatMap(([name, property]) => typeof property === 'boolean'
		? []
		: [{
			name,
			description: property.description ?? '',
			type: typeName(property),
			required: schema?.required?.includes(name) ?? false,
			default: property.default,
			minimum: declaredMinimum(property),
			maximum: declaredMaximum(property.maximum),
			fields: fieldsOf(property),
			itemFields: fieldsOf(itemsOf(property)),
		}]);
}

function itemsOf(schema: JsonSchema): JsonSchema | undefined {
	return typeof schema.items === 'object' && !Array.isArray(schema.items) ? schema.items : undefined;
}

/** Returns the smallest allowed value; the JSON schema of a positive integer holds it as an exclusive minimum. */
function declaredMinimum(schema: JsonSchema): number | undefined {
	return schema.type === 'integer' && typeof schema.exclusiveMinimum === 'number' ? schema.exclusiveMinimum + 1 : schema.minimum;
}

/**
Returns the largest allowed value. The largest safe integer, which the JSON schema holds for an integer without an upper bound, and the limit of all
timers are left out.
*/
function declaredMaximum(bound: number | undefined): number | undefined {
	return bound === Number.MAX_SAFE_INTEGER || bound === maxDurationMs ? undefined : bound;
}

const typeNames: Readonly<Record<string, string>> = {
	string: 'text', integer: 'whole number', number: 'number', boolean: 'true or false', object: 'group',
};

function typeName(schema: JsonSchema): string {
	if (schema.const !== undefined) {
		return JSON.stringify(schema.const);
	}

	if (schema.enum !== undefined) {
		return schema.enum.map(value => JSON.stringify(value)).join(' or ');
	}

	if (schema.type === 'array') {
		return `list of ${itemsOf(schema)?.properties === undefined ? 'values' : 'groups'}`;
	}

	return schema.format === 'uri' ? 'URL' : typeNames[String(schema.type)] ?? 'value';
}
