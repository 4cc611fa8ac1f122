/**
 * Schema and type of the profile file, which tells the command line the operators' port and key. The file is JSON with comments.
 */
import * as z from 'zod'

export const profileSchema = z.strictObject({
  /** URL of an entry's operators' port. */
  entry: z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected http://IP:PORT, for instance "http://10.0.0.7:7702"'),
  /** File with the operators' key; the path is relative to the folder of the profile. */
  keyFile: z.string().min(1).optional()
})

export type Profile = z.infer<typeof profileSchema>
