/** Starts stand-ins for the platform's services and the backend servers, on the addresses in the settings. */
import type {H3} from 'h3';
import {type Vm, VmState} from '../control_services';
import {type Clock, type Listener, openListener} from '../runtime';
import type {StandinsSettings} from '../settings';
import {createEngineModel} from './engine_model';
import {createEngineApp} from './engine_server';
import {createLogModel, type LogModel} from './log_model';
import {createLogApp} from './log_server';
import {createServiceApp, createServiceModel} from './service_server';
import {createVmListApp, createVmListModel} from './vm_list_server';
import {
  createWeightStoreApp,
  createWeightStoreModel,
} from './weight_store_server';

/** Options of the stand-ins. */
export interface StandinsOptions {
  readonly clock: Clock;
  readonly settings: StandinsSettings;
}

/** Running stand-ins. */
export interface Standins {
  readonly logAddress: string;
  readonly vmListAddress: string;
  close(): Promise<void>;
}

type StandinsTable = StandinsSettings['standins'];
type LogFault = StandinsTable['log_fault'][number];

const MS_PER_S = 1_000;

/** Starts the stand-ins; rejects when an address is in use. */
export async function startStandins(
  options: StandinsOptions,
): Promise<Standins> {
  const {clock} = options;
  const table = options.settings.standins;
  const listeners: Listener[] = [];
  const log = createLogModel({
    clock,
    retentionMs: table.log_retention_s * MS_PER_S,
    appendsPerS: table.log_appends_per_s,
  });
  log.setDelay(table.log_delay_ms);
  const vmList = createVmListModel({clock, lagMs: table.vm_list_lag_ms});
  try {
    const logListener = await open(createLogApp(log), table.log_listen);
    const vmListListener = await open(
      createVmListApp(vmList),
      table.vm_list_listen,
    );
    const weightStore = createWeightStoreModel({clock});
    await open(createWeightStoreApp(weightStore), table.weight_store_listen);
    await openEngines();
    await openServices();
    for (const node of table.node) vmList.setVm(createNodeVm(table, node));
    const timers = table.log_fault.flatMap(fault =>
      scheduleLogFault(clock, log, fault, table.log_delay_ms),
    );
    return {
      logAddress: logListener.address,
      vmListAddress: vmListListener.address,
      close: async () => {
        for (const timer of timers) timer.cancel();
        await closeAll();
      },
    };
  } catch (error) {
    await closeAll();
    throw error;
  }

  async function open(app: H3, address: string): Promise<Listener> {
    const split = address.lastIndexOf(':');
    const listener = await openListener({
      app,
      host: address.slice(0, split),
      port: Number(address.slice(split + 1)),
    });
    listeners.push(listener);
    return listener;
  }

  async function openEngines(): Promise<void> {
    for (const engine of table.engine) {
      const model = createEngineModel({
        id: engine.id,
        address: `http://${engine.listen}`,
        clock,
        role: engine.role,
        models: engine.models,
        totalPieces: engine.memory_pieces,
        checksFencing: engine.checks_fencing,
      });
      const listener = await open(createEngineApp(model), engine.listen);
      vmList.setVm({
        id: engine.id,
        purpose: 'model_engine',
        state: VmState.Live,
        failureDomain: engine.failure_domain,
        building: engine.building,
        region: table.region,
        address: listener.address,
        checksFencing: engine.checks_fencing,
      });
    }
  }

  /** All servers of plain services share their bookings, as application servers share a database. */
  async function openServices(): Promise<void> {
    const service = createServiceModel();
    for (const server of table.service) {
      const listener = await open(createServiceApp(service), server.listen);
      vmList.setVm({
        id: server.id,
        purpose: 'service',
        state: VmState.Live,
        failureDomain: server.failure_domain,
        building: server.building,
        region: table.region,
        address: listener.address,
        service: server.service,
      });
    }
  }

  async function closeAll(): Promise<void> {
    await Promise.all(listeners.map(listener => listener.destroy()));
  }
}

function createNodeVm(
  table: StandinsTable,
  node: StandinsTable['node'][number],
): Vm {
  return {
    id: node.id,
    purpose: 'node',
    state: VmState.Live,
    failureDomain: node.failure_domain,
    region: table.region,
    address: node.address,
    peerAddress: node.peer_address,
    operatorAddress: node.operator_address,
  };
}

function scheduleLogFault(
  clock: Clock,
  log: LogModel,
  fault: LogFault,
  baseDelayMs: number,
): Array<{cancel(): void}> {
  const startMs = fault.at_s * MS_PER_S;
  const endMs = startMs + fault.for_s * MS_PER_S;
  switch (fault.kind) {
    case 'outage':
      return [
        clock.schedule(startMs, () => log.setDown(true)),
        clock.schedule(endMs, () => log.setDown(false)),
      ];
    case 'slow':
      return [
        clock.schedule(startMs, () =>
          log.setDelay(baseDelayMs + fault.delay_ms),
        ),
        clock.schedule(endMs, () => log.setDelay(baseDelayMs)),
      ];
    case 'lost_replies':
      return [clock.schedule(startMs, () => log.loseReplies(fault.count))];
  }
}
