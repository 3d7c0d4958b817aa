import { AdmissionRole } from './admissionRole.js'
import type { CapacityRole } from './capacityRole.js'
import { HomeRole } from './homeRole.js'
import { MembershipRole } from './membershipRole.js'
import { OrdersRole } from './ordersRole.js'
import { PeerCallRole } from './peerCallRole.js'
import { ReplicaPollRole } from './replicaPollRole.js'

/** All capacity roles, in the order of the printed tables. */
export const capacityRoles: readonly CapacityRole[] = [
  new PeerCallRole(),
  new MembershipRole(),
  new AdmissionRole(),
  new HomeRole(),
  new OrdersRole(),
  new ReplicaPollRole()
]

export { CAPACITY_FIGURES, CapacityRole, type CapacityFigure, type CapacitySample } from './capacityRole.js'
export { fitLine, valueAt, type Line, type Point } from './linearFit.js'
