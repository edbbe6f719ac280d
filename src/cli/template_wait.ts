/** Waits until a version of a template is in force on every live node. */
import {createMessage, type Message, messages} from '../diagnostics';
import type {Clock} from '../runtime';
import {type Fleet, inForceSchema} from './answers';
import type {OperatorClient} from './operator_client';

/** A node that is polled for the version that it has in force. */
export interface PolledNode {
  readonly id: string;
  /** Absent when the VM list does not give the node's operators listener. */
  readonly client: OperatorClient | undefined;
}

/** Options of a wait. */
export interface WaitOptions {
  readonly clock: Clock;
  readonly nodes: readonly PolledNode[];
  readonly version: number;
  /** Longest wait, in milliseconds. */
  readonly timeoutMs: number;
  /** Called with the fraction of the nodes that have the version in force, 0 to 1. */
  readonly onProgress?: (fraction: number) => void;
}

const POLL_MS = 200;

/** Lists the nodes given by address and the live nodes of a fleet view, each once. */
export function listPolledNodes(
  fleet: Fleet,
  given: readonly OperatorClient[],
  createClient: (address: string) => OperatorClient,
): PolledNode[] {
  const addresses = new Set(given.map(client => client.address));
  const others = fleet.vms
    .filter(vm => vm.purpose === 'node' && vm.state === 'live')
    .filter(vm => !addresses.has(vm.operatorAddress ?? ''))
    .map(vm => ({
      id: vm.id,
      client:
        vm.operatorAddress === undefined
          ? undefined
          : createClient(vm.operatorAddress),
    }));
  return [...given.map(client => ({id: client.address, client})), ...others];
}

/** Returns the nodes that do not have the version in force when the wait ends, with why. */
export async function waitUntilInForce(
  options: WaitOptions,
): Promise<Array<{readonly node: string; readonly reason: string}>> {
  const {clock, nodes, version} = options;
  const untilMs = clock.getMonotonicMs() + options.timeoutMs;
  const pending = new Map(nodes.map(node => [node.id, node]));
  const reasons = new Map<string, string>();
  for (;;) {
    await Promise.all([...pending.values()].map(checkNode));
    options.onProgress?.(1 - pending.size / nodes.length);
    const canChange = [...pending.values()].some(
      node => node.client !== undefined,
    );
    if (!canChange || clock.getMonotonicMs() >= untilMs) break;
    await clock.sleep(POLL_MS);
  }
  return [...pending.keys()].map(node => ({
    node,
    reason: reasons.get(node) ?? 'not asked',
  }));

  async function checkNode(node: PolledNode): Promise<void> {
    if (node.client === undefined) {
      reasons.set(node.id, 'the VM list gives no address for operators');
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

/** Creates the message for nodes without the version. */
export function createNotInForceMessage(
  account: string,
  version: number,
  missing: ReadonlyArray<{readonly node: string; readonly reason: string}>,
): Message {
  const names = missing.map(item => `${item.node} (${item.reason})`).join(', ');
  return createMessage(messages.NotInForce, [account, String(version), names]);
}
