export {runDemo, startDemo} from './demo';
export type {Demo, DemoOptions} from './demo';
export {startStandinFleet} from './standin_fleet';
export type {
  StandinEngine,
  StandinFleet,
  StandinFleetOptions,
} from './standin_fleet';
