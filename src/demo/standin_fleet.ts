/**
 * Runs the simulated platform services and backend servers of the demo and the tests, on free
 * loopback ports.
 */
import {type EngineRole} from '../backends';
import {VmState} from '../control_services';
import {type Clock, type Listener, openListener} from '../runtime';
import {
  createEngineApp,
  createEngineModel,
  createLogApp,
  createLogModel,
  createServiceApp,
  createServiceModel,
  createVmListApp,
  createVmListModel,
  createWeightStoreApp,
  createWeightStoreModel,
  type EngineModel,
  type LogModel,
  type ServiceModel,
  type VmListModel,
} from '../standins';

/** One engine of the fleet. */
export interface StandinEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly building?: string;
  readonly role?: EngineRole;
  /** Models loaded at the start; those of the fleet when omitted. */
  readonly models?: readonly string[];
}

/** Options of the fleet. */
export interface StandinFleetOptions {
  readonly clock: Clock;
  readonly region: string;
  readonly models: readonly string[];
  readonly engines: readonly StandinEngine[];
  /** Name of the plain service. */
  readonly service: string;
  /** Names of further plain services, which share the bookings of `service`. */
  readonly additionalServices?: readonly string[];
  /** Time that the weight store takes to copy one set of weights, in milliseconds. */
  readonly weightCopyMs?: number;
}

/** Addresses of a running fleet, and the in-memory models behind its servers. */
export interface StandinFleet {
  readonly logAddress: string;
  readonly vmListAddress: string;
  readonly weightStoreAddress: string;
  readonly log: LogModel;
  readonly vmList: VmListModel;
  readonly engines: readonly EngineModel[];
  readonly service: ServiceModel;
  close(): Promise<void>;
}

/** Starts the fleet on free loopback ports. */
export async function startStandinFleet(
  options: StandinFleetOptions,
): Promise<StandinFleet> {
  const {clock} = options;
  const listeners: Listener[] = [];
  const log = createLogModel({clock});
  const vmList = createVmListModel({clock});
  const service = createServiceModel();
  const engines: EngineModel[] = [];
  const logListener = await openListener({app: createLogApp(log)});
  const vmListListener = await openListener({app: createVmListApp(vmList)});
  const weightStoreListener = await openListener({
    app: createWeightStoreApp(
      createWeightStoreModel({clock, copyMs: options.weightCopyMs}),
    ),
  });
  listeners.push(logListener, vmListListener, weightStoreListener);
  for (const engine of options.engines) await startEngine(engine);
  for (const name of [options.service, ...(options.additionalServices ?? [])]) {
    await startService(name);
  }
  return {
    logAddress: logListener.address,
    vmListAddress: vmListListener.address,
    weightStoreAddress: weightStoreListener.address,
    log,
    vmList,
    engines,
    service,
    close: async () => {
      await Promise.all(listeners.map(listener => listener.destroy()));
    },
  };

  async function startEngine(engine: StandinEngine): Promise<void> {
    const model = createEngineModel({
      id: engine.id,
      address: '',
      clock,
      role: engine.role,
      models: engine.models ?? options.models,
    });
    const listener = await openListener({app: createEngineApp(model)});
    listeners.push(listener);
    engines.push(model);
    vmList.setVm({
      id: engine.id,
      purpose: 'model_engine',
      state: VmState.Live,
      failureDomain: engine.failureDomain,
      region: options.region,
      building: engine.building,
      address: listener.address,
      checksFencing: true,
    });
  }

  async function startService(name: string): Promise<void> {
    const listener = await openListener({app: createServiceApp(service)});
    listeners.push(listener);
    vmList.setVm({
      id: `${name}-1`,
      purpose: 'service',
      state: VmState.Live,
      failureDomain: options.engines[0].failureDomain,
      building: options.engines[0].building,
      region: options.region,
      address: listener.address,
      service: name,
    });
  }
}
