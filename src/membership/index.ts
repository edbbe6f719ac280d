export {createMembership} from './membership';
export type {MembershipOptions} from './membership';
export {createPeerApp} from './peer_app';
export type {PeerAppOptions} from './peer_app';
export {createPeerClient} from './peer_client';
export type {PeerClient, PeerClientOptions} from './peer_client';
export type {EventFilter, PeerServices} from './peer_router';
export {MemberStatus} from './types';
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
