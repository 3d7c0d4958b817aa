/** The identity of an instance. */
import * as z from 'zod'

/** Identity of one running instance. A restart on the same host has a higher incarnation. */
export const instanceIdentitySchema = z.strictObject({
  host: z.string().min(1),
  incarnation: z.number().int().nonnegative()
})

/** Identity of one running instance. */
export type InstanceIdentity = z.infer<typeof instanceIdentitySchema>

/** Whether two identities name the same run of the same host. */
export function isSameInstance (left: InstanceIdentity, right: InstanceIdentity): boolean {
  return left.host === right.host && left.incarnation === right.incarnation
}
