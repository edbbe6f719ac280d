export {startCluster} from './cluster';
export type {Cluster, ClusterOptions} from './cluster';
export {runDemo} from './demo';
export type {DemoOptions} from './demo';
export {startStandinFleet} from './standin_fleet';
export type {
  StandinEngine,
  StandinFleet,
  StandinFleetOptions,
} from './standin_fleet';
export {readStream} from './stream_reader';
export type {ReadStreamOptions, ReceivedStream} from './stream_reader';
