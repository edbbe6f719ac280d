export {createBackendProtocol} from './backend_protocol';
export {createDutyClient} from './duty_client';
export type {DutyClientOptions} from './duty_client';
export {createFleetStore} from './fleet_store';
export {
  loadNodeSettings,
  parseNodeSettings,
  SETTINGS_PATH_VARIABLE,
} from './node_settings';
export {createStoreClient} from './store_client';
export type {StoreClient, StoreClientOptions} from './store_client';
export {createUsageStore} from './usage_store';
