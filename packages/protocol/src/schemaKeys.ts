/**
 * Lists the keys that document schemas allow.
 */
import * as z from 'zod'

/** Path of a key in a document; `*` matches any name or index. */
export type SchemaPath = readonly string[]

/** Lists the paths of all keys that a schema allows, at all depths. */
export function listSchemaPaths (schema: z.core.$ZodType): SchemaPath[] {
  return listChildSchemas(schema).flatMap(([key, child]) => [[key], ...listSchemaPaths(child).map(path => [key, ...path])])
}

/** Lists the keys that a schema allows in the object at a path. */
export function listKeysAt (schema: z.core.$ZodType, path: readonly PropertyKey[]): string[] {
  const [first, ...rest] = path
  if (first === undefined) return [...new Set(listChildSchemas(schema).map(([key]) => key))]
  const children = listChildSchemas(schema).filter(([key]) => key === '*' || key === String(first))
  return [...new Set(children.flatMap(([, child]) => listKeysAt(child, rest)))]
}

/** Returns the option of a discriminated union that matches the document's discriminator, or the schema itself if there is none. */
export function selectSchema (schema: z.core.$ZodType, value: unknown): z.core.$ZodType {
  if (!(schema instanceof z.ZodDiscriminatedUnion) || typeof value !== 'object' || value === null) return schema
  const { discriminator } = schema.def
  const discriminatorValue = (value as Record<string, unknown>)[discriminator]
  const options = schema.options.filter(option => option instanceof z.ZodObject && option.shape[discriminator]?.safeParse(discriminatorValue).success === true)
  return options[0] ?? schema
}

function listChildSchemas (schema: z.core.$ZodType): Array<[string, z.core.$ZodType]> {
  if (schema instanceof z.ZodObject) return Object.entries(schema.shape) as Array<[string, z.core.$ZodType]>
  if (schema instanceof z.ZodRecord) return [['*', schema.valueType]]
  if (schema instanceof z.ZodArray) return [['*', schema.element]]
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) return listChildSchemas(schema.def.innerType)
  if (schema instanceof z.ZodUnion) return schema.options.flatMap(option => listChildSchemas(option))
  return []
}
