/** `anvilstack timeline`. */
import {writeFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {
  createMessage,
  type EventPage,
  formatEngineExplanation,
  formatEventTime,
  formatLeaseExplanation,
  formatRequestExplanation,
  mergeTimeline,
  messages,
  renderTimelineHtml,
  selectEvents,
  type Timeline,
  type TimelineEvent,
  type TimelineGap,
} from '../diagnostics';
import {eventsSchema, type Fleet, fleetSchema} from './response_schemas';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {formatTable} from '../diagnostics';
import {printJson} from './output';

/** Merges the events of all reachable nodes into one timeline. */
export class TimelineCommand extends OperatorCommand {
  static override paths = [['timeline']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows the events of all nodes, merged in time order.',
    details:
      'Reads the events of the given nodes and of the other nodes in the fleet. Nodes that do not answer are listed, as their events are missing. With --request, --engine or --lease an explanation in words follows the table.',
    examples: [
      ['Why was this request refused', 'anvilstack timeline --request req-17'],
      [
        'Why did this engine change role',
        'anvilstack timeline --engine engine-3',
      ],
      [
        'Who held the lease at 02:10',
        'anvilstack timeline --lease sk-west-1 --at 2026-12-05T02:10:00Z',
      ],
      [
        'Write the timeline as an HTML page',
        'anvilstack timeline --html timeline.html',
      ],
    ],
  });

  request = Option.String('--request', {
    description: 'Only events of the request with this id',
  });
  clientAccount = Option.String('--client-account', {
    description: 'Only events of this client account',
  });

  engine = Option.String('--engine', {
    description: 'Only events of this engine',
  });
  lease = Option.String('--lease', {
    description: 'Only events of the lease of this shard',
  });
  at = Option.String('--at', {
    description:
      'With --lease: report the holder at this time, such as 2026-12-05T02:10:00Z; now when omitted',
  });

  since = Option.String('--since', {
    description:
      'Only events at or after this time, such as 2026-12-05T02:10:00Z',
  });

  html = Option.String('--html', {
    description:
      'Write the timeline to this file as a self-contained HTML page',
  });

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    for (const [name, value] of [
      ['--at', this.at],
      ['--since', this.since],
    ]) {
      if (value !== undefined && Number.isNaN(Date.parse(value))) {
        const fault = `'${value}' is not a time such as 2026-12-05T02:10:00Z`;
        this.fail(
          createMessage(messages.InvalidOptionValue, [name ?? '', fault]),
        );
        return ExitCode.Usage;
      }
    }
    const fullTimeline = await this.collectTimeline(clients);
    if (fullTimeline === undefined) return ExitCode.Failed;
    const timeline = {
      gaps: fullTimeline.gaps,
      events: this.selectEvents(fullTimeline),
    };
    if (this.html !== undefined) {
      writeFileSync(
        this.html,
        renderTimelineHtml(timeline, 'anvilstack timeline'),
      );
      this.context.stdout.write(
        `${this.html}: ${timeline.events.length} events\n`,
      );
      return ExitCode.Done;
    }
    if (this.json) printJson(this.context.stdout, timeline);
    else this.printText(timeline, this.listAnswers(fullTimeline));
    return ExitCode.Done;
  }

  private selectEvents(timeline: Timeline): TimelineEvent[] {
    return selectEvents(timeline.events, {
      requestId: this.request,
      clientAccount: this.clientAccount,
      engine: this.engine,
      shard: this.lease,
      sinceMs: this.since === undefined ? undefined : Date.parse(this.since),
    });
  }

  private listAnswers(timeline: Timeline): string[] {
    const answers: string[] = [];
    if (this.request !== undefined) {
      answers.push(formatRequestExplanation(timeline, this.request));
    }
    if (this.engine !== undefined) {
      answers.push(formatEngineExplanation(timeline, this.engine));
    }
    if (this.lease !== undefined) {
      const atMs = this.at === undefined ? Date.now() : Date.parse(this.at);
      answers.push(formatLeaseExplanation(timeline, this.lease, atMs));
    }
    return answers;
  }

  private async collectTimeline(
    clients: readonly OperatorClient[],
  ): Promise<Timeline | undefined> {
    const fleet = await this.callFirstReachable(clients, client =>
      client.read('/operators/fleet', fleetSchema),
    );
    if (fleet.err) {
      this.fail(fleet.val);
      return undefined;
    }
    const pages = new Map<string, EventPage>();
    const unreachable: TimelineGap[] = [];
    await Promise.all(clients.map(client => readPage(client, client.address)));
    const otherNodes = listOtherNodes(fleet.val, clients).filter(
      vm => !pages.has(vm.id),
    );
    await Promise.all(
      otherNodes.map(vm => {
        if (vm.operatorAddress !== undefined) {
          return readPage(this.createClient(vm.operatorAddress), vm.id);
        }
        unreachable.push({
          node: vm.id,
          reason: 'the VM list has no address of its operators listener',
        });
        return undefined;
      }),
    );
    return mergeTimeline({pages: [...pages.values()], unreachable});

    async function readPage(
      client: OperatorClient,
      name: string,
    ): Promise<void> {
      const answer = await client.read('/operators/events', eventsSchema);
      if (answer.ok) pages.set(answer.val.node, answer.val);
      else
        unreachable.push({
          node: name,
          reason: 'no answer: its events are missing',
        });
    }
  }

  private printText(timeline: Timeline, answers: readonly string[]): void {
    const {stdout, stderr} = this.context;
    const rows = timeline.events.map(event => [
      formatEventTime(event),
      event.node,
      event.kind,
      event.requestId ?? '',
      event.engine ?? event.shard ?? event.clientAccount ?? '',
      event.cause,
    ]);
    stdout.write(
      formatTable(
        ['TIME', 'PROCESS', 'EVENT', 'REQUEST', 'SUBJECT', 'CAUSE'],
        rows,
      ),
    );
    for (const answer of answers) stdout.write(`\n${answer}\n`);
    for (const gap of timeline.gaps) {
      stderr.write(`missing: ${gap.node}: ${gap.reason}\n`);
    }
  }
}

function listOtherNodes(
  fleet: Fleet,
  clients: readonly OperatorClient[],
): Fleet['vms'] {
  const given = new Set(clients.map(client => client.address));
  return fleet.vms.filter(
    vm =>
      vm.purpose === 'node' &&
      vm.id !== fleet.node &&
      !given.has(vm.operatorAddress ?? ''),
  );
}
