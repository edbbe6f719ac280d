export {getBackendServers} from './fleet_view';
export {startNode} from './node';
export type {AnvilstackNode, NodeOptions} from './node';
export type {CollectedEvents} from './peer_reads';
export type {FleetOfPeers} from './peer_tasks';
export {createNodeEvents} from './node_events';
