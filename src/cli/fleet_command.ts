/** `anvilstack fleet`. */
import {Command} from 'clipanion';
import {type Fleet, fleetSchema} from './response_schemas';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {formatTable} from '../diagnostics';
import {printJson} from './output';

/** Shows the nodes and backend servers as one node sees them. */
export class FleetCommand extends OperatorCommand {
  static override paths = [['fleet']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows the nodes and backend servers as one node sees them.',
    examples: [['Show the fleet', 'anvilstack fleet']],
  });

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const answer = await this.callFirstReachable(clients, client =>
      client.read('/operators/fleet', fleetSchema),
    );
    if (answer.err) return this.fail(answer.val);
    if (this.json) printJson(this.context.stdout, answer.val);
    else this.context.stdout.write(formatFleet(answer.val));
    return ExitCode.Done;
  }
}

function formatFleet(fleet: Fleet): string {
  const reports = new Map(
    (fleet.reports ?? []).map(report => [report.engine, report]),
  );
  const rows = fleet.vms.map(vm => {
    const report = reports.get(vm.id);
    return [
      vm.id,
      vm.purpose.replace('_', ' '),
      vm.service ?? report?.role ?? '',
      vm.state,
      vm.failureDomain,
      vm.building ?? '',
      getCountText(report, 'running'),
      getCountText(report, 'waiting'),
      vm.address,
    ];
  });
  const table = formatTable(
    [
      'VM',
      'PURPOSE',
      'SERVICE/ROLE',
      'STATE',
      'FAILURE DOMAIN',
      'BUILDING',
      'RUNNING',
      'WAITING',
      'ADDRESS',
    ],
    rows,
  );
  return `as seen by ${fleet.node}\n${table}`;
}

function getCountText(
  report: Readonly<Record<string, unknown>> | undefined,
  name: string,
): string {
  const count = report?.[name];
  return typeof count === 'number' ? String(count) : '';
}
