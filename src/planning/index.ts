export {computeUtilization, computeOfferedLoad} from './capacity';
export type {EngineRates, OfferedLoad} from './capacity';
export {createDemandMeter, mergeDemands} from './demand_meter';
export type {
  AdmittedRequest,
  DemandMeter,
  DemandMeterOptions,
  EndedRequest,
} from './demand_meter';
export {createMeteredDispatcher} from './metered_dispatcher';
export {countChanges} from './fleet_roles';
export {createPlannerState} from './plan_roles';
export {planPredictively} from './predictive';
export {planBySkiRental} from './ski_rental';
export {listRoleOrders, listRoleTargets} from './role_targets';
export type {RoleTargetChange} from './role_targets';
export {
  addStageDemands,
  createStageDemandMeter,
  NO_STAGE_DEMAND,
} from './stage_demand';
export type {StageDemand, StageDemandMeter} from './stage_demand';
export {planSplit} from './stage_split';
export type {
  SplitInput,
  SplitPlan,
  StageCapacity,
  StageLoad,
} from './stage_split';
export {planByThresholds} from './thresholds';
export {
  createPlannerWeights,
  FEW_CHANGES_WEIGHTS,
  GOODPUT_WEIGHTS,
} from './weights';
export type {WeightSettings} from './weights';
export type {
  DeclinedRoleChange,
  Demand,
  Observation,
  PlanEvent,
  PlannerState,
  PlannerWeights,
  RolePlanner,
  RoleChangeStep,
  RoleCounts,
  RolePlan,
} from './types';
