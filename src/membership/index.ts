export {createMembership} from './membership';
export type {MembershipOptions} from './membership';
export {exchangeSchema, indirectProbeSchema, MemberStatus} from './types';
export type {
  Digest,
  Exchange,
  IndirectProbe,
  ListedNode,
  LocalLoad,
  Member,
  Membership,
  MembershipChange,
  MembershipCounts,
  MembershipHost,
  Rumour,
} from './types';
