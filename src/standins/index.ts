export {createEngineModel} from './engine_model';
export {ENGINE_DEFAULTS} from './engine_model_types';
export type {
  EngineModel,
  EngineModelOptions,
  EngineObserver,
} from './engine_model_types';
export {createEngineApp} from './engine_server';
export {createLocalLog} from './local_log';
export type {LocalLogOptions} from './local_log';
export {createLogModel} from './log_model';
export type {LogModel, LogModelOptions} from './log_model';
export {createLogApp} from './log_server';
export {createServiceApp, createServiceModel} from './service_server';
export type {ServiceModel} from './service_server';
export {createVmListApp, createVmListModel} from './vm_list_server';
export type {VmListModel, VmListModelOptions} from './vm_list_server';
export {
  createWeightStoreApp,
  createWeightStoreModel,
} from './weight_store_server';
export type {
  WeightStoreModel,
  WeightStoreModelOptions,
} from './weight_store_server';
export {startStandins} from './start_standins';
export type {Standins, StandinsOptions} from './start_standins';
