export {createNodeEventRing} from './event_ring';
export {getBackendServers} from './fleet_view';
export {startNode} from './node';
export type {AnvilstackNode, NodeOptions} from './node';
export type {CollectedEvents} from './peer_reads';
export type {MembershipView} from './peer_tasks';
