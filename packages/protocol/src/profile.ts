/**
 * Where the command line finds the operators' port and key: schema and type. The file is JSON with comments.
 */
import * as z from 'zod'

export const profileSchema = z.strictObject({
  /** Operators' port of an entry. */
  entry: z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected http://IP:PORT, for instance "http://10.0.0.7:7702"'),
  /** File that holds the operators' key; relative to the profile's folder. */
  keyFile: z.string().min(1).optional()
})

export type Profile = z.infer<typeof profileSchema>
