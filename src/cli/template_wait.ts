/** Waits until a version of a template is in force on every live node. */
import {createMessage, type Message, messages} from '../diagnostics';
import type {Clock} from '../runtime';
import {type Fleet, inForceSchema} from './response_schemas';
import type {OperatorClient} from './operator_client';

/** A node that is polled for the version. */
export interface PolledNode {
  /** VM id, or the address for a node that the user gave by address. */
  readonly id: string;
  /** Undefined when the VM list has no address of the node's operators listener. */
  readonly client: OperatorClient | undefined;
}

/** Options of a wait. */
export interface WaitOptions {
  readonly clock: Clock;
  readonly nodes: readonly PolledNode[];
  readonly version: number;
  /** Maximum wait, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Called after each poll with the fraction of the nodes, 0 to 1, that have the version in force.
   */
  readonly onProgress?: (fraction: number) => void;
}

const POLL_INTERVAL_MS = 200;

/** Lists the nodes given by address, then the other live nodes in the fleet. */
export function listNodesToPoll(
  fleet: Fleet,
  given: readonly OperatorClient[],
  createClient: (address: string) => OperatorClient,
): PolledNode[] {
  const addresses = new Set(given.map(client => client.address));
  const fleetNodes = fleet.vms
    .filter(vm => vm.purpose === 'node' && vm.state === 'live')
    .filter(vm => !addresses.has(vm.operatorAddress ?? ''))
    .map(vm => ({
      id: vm.id,
      client:
        vm.operatorAddress === undefined
          ? undefined
          : createClient(vm.operatorAddress),
    }));
  return [
    ...given.map(client => ({id: client.address, client})),
    ...fleetNodes,
  ];
}

/**
 * Polls the nodes until all have the version in force, the rest have no known address, or the wait
 * times out. Returns the nodes where the version is not in force, with the reason for each.
 */
export async function waitUntilInForce(
  options: WaitOptions,
): Promise<Array<{readonly node: string; readonly reason: string}>> {
  const {clock, nodes, version} = options;
  const deadlineMs = clock.getMonotonicMs() + options.timeoutMs;
  const pending = new Map(nodes.map(node => [node.id, node]));
  const reasons = new Map<string, string>();
  for (;;) {
    await Promise.all([...pending.values()].map(checkNode));
    options.onProgress?.(1 - pending.size / nodes.length);
    const hasReachableNode = [...pending.values()].some(
      node => node.client !== undefined,
    );
    if (!hasReachableNode || clock.getMonotonicMs() >= deadlineMs) break;
    await clock.sleep(POLL_INTERVAL_MS);
  }
  return [...pending.keys()].map(node => ({
    node,
    reason: reasons.get(node) ?? 'not asked',
  }));

  async function checkNode(node: PolledNode): Promise<void> {
    if (node.client === undefined) {
      reasons.set(
        node.id,
        'the VM list has no address of its operators listener',
      );
      return;
    }
    const answer = await node.client.read('/operators/in_force', inForceSchema);
    if (answer.err) {
      reasons.set(node.id, 'no answer');
    } else if (answer.val.nextOffset > version) {
      pending.delete(node.id);
    } else {
      reasons.set(node.id, `has read up to offset ${answer.val.nextOffset}`);
    }
  }
}

/** Creates the message that names the nodes where the version is not in force. */
export function createNotInForceMessage(
  account: string,
  version: number,
  unconfirmed: ReadonlyArray<{readonly node: string; readonly reason: string}>,
): Message {
  const names = unconfirmed
    .map(item => `${item.node} (${item.reason})`)
    .join(', ');
  return createMessage(messages.NotInForce, [account, String(version), names]);
}
