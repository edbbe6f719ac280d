export {createBackendProtocol} from './backend_protocol';
export {createFleetStore} from './fleet_store';
export {
  loadNodeSettings,
  parseNodeSettings,
  SETTINGS_PATH_VARIABLE,
} from './node_settings';
export {createStoreClient} from './store_client';
export type {StoreClient, StoreClientOptions} from './store_client';
