/** Stand-in for the platform's list of VMs, which shows changes late, in memory and over HTTP. */
import {H3} from 'h3';
import {Err, Ok} from 'ts-results';
import {type Vm, type VmList, VmState} from '../control_services';
import type {Clock} from '../runtime';
import {createAnswer, createUnavailable} from './service_unavailable';

/** Options of the list. */
export interface VmListModelOptions {
  readonly clock: Clock;
  /** Delay before the list shows a change, in milliseconds. */
  readonly lagMs?: number;
}

/** A list of VMs with delayed changes and fault injection. */
export interface VmListModel extends VmList {
  setVm(vm: Vm): void;
  setLeaving(id: string): void;
  removeVm(id: string): void;
  getVms(): readonly Vm[];
  setDown(isDown: boolean): void;
  /** While stale, the list keeps showing its content at the time of the call. */
  setStale(isStale: boolean): void;
}

/** Creates an empty list. */
export function createVmListModel(options: VmListModelOptions): VmListModel {
  const {clock} = options;
  const lagMs = options.lagMs ?? 0;
  const vms = new Map<string, Vm>();
  let isDown = false;
  let staleSnapshot: readonly Vm[] | undefined;
  return {
    setVm: vm => applyAfterLag(() => vms.set(vm.id, vm)),
    setLeaving,
    removeVm: id => applyAfterLag(() => vms.delete(id)),
    getVms,
    setDown: value => {
      isDown = value;
    },
    setStale: isStale => {
      staleSnapshot = isStale ? [...vms.values()] : undefined;
    },
    list: () =>
      Promise.resolve(isDown ? Err(createUnavailable()) : Ok(getVms())),
  };

  function getVms(): readonly Vm[] {
    return staleSnapshot ?? [...vms.values()];
  }

  function setLeaving(id: string): void {
    applyAfterLag(() => {
      const vm = vms.get(id);
      if (vm !== undefined) vms.set(id, {...vm, state: VmState.Leaving});
    });
  }

  function applyAfterLag(change: () => void): void {
    if (lagMs === 0) change();
    else clock.schedule(lagMs, change);
  }
}

/** Creates the application: `GET /vms`. */
export function createVmListApp(model: VmListModel): H3 {
  const app = new H3();
  app.get('/vms', async () => createAnswer(await model.list()));
  return app;
}
