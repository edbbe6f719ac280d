/** Maps the platform's VM list and the settings to backend servers. */
import type {BackendServer} from '../backends';
import {type Vm, VmState} from '../control_services';
import type {Settings} from '../settings';

/** Returns the backend servers in a VM list. */
export function getBackendServers(vms: readonly Vm[]): BackendServer[] {
  return vms.filter(vm => vm.purpose !== 'node').map(createServer);
}

function createServer(vm: Vm): BackendServer {
  return {
    id: vm.id,
    kind: vm.purpose === 'service' ? 'service' : 'model_engine',
    address: vm.address,
    failureDomain: vm.failureDomain,
    region: vm.region ?? '',
    building: vm.building ?? '',
    service: vm.service,
    checksFencing: vm.checksFencing ?? false,
    isLeaving: vm.state === VmState.Leaving,
  };
}

/** Returns the backend servers that the settings name in addition to the VM list. */
export function getExtraServers(settings: Settings): BackendServer[] {
  return settings.backend_server.map(server => ({
    id: server.id,
    kind: server.kind,
    address: server.address,
    failureDomain: server.failure_domain,
    region: settings.node.region,
    building: server.building,
    service: server.service,
    checksFencing: settings.fencing.checked_by?.includes(server.id) ?? false,
    isLeaving: false,
  }));
}
