/** A view of a gateway's state on which the decision functions have no effect. */
import {recordAssumedEnd} from '../gateway/assumed_end';
import {selectHealthy} from '../gateway/server_health';
import type {ServiceServersContext} from '../gateway/service_servers';
import type {StreamEnginesContext} from '../gateway/stream_engines';
import type {LimitsView} from '../gateway/server_limits';
import type {ExplainContext} from './types';

/** The state as one decision sees it. */
export type DecisionView = StreamEnginesContext &
  ServiceServersContext & {readonly limits: LimitsView};

/** Number of returning servers up to which all combinations of them are looked at: each doubles the work. */
const MAX_COMBINED = 4;

/** Creates a view for one decision, in which the health filter lets just these of the returning servers pass. */
export function createView(
  context: ExplainContext,
  service: string,
  passing: ReadonlySet<string>,
): DecisionView {
  const {state, speeds, health} = context;
  const capacities = context.capacities.createView();
  const serverIds = state.listUsable(service).map(server => server.id);
  return {
    ...context,
    capacities,
    limits: context.limits.createView(),
    prefillQueues: context.prefillQueues.createCopy(serverIds, job =>
      recordAssumedEnd({state, speeds, capacities}, job),
    ),
    health: {
      listHealthy: servers =>
        selectHealthy(servers, ({id}) => {
          const chance = health.getUsableChance(id);
          return chance === 1 || (chance > 0 && passing.has(id));
        }),
    },
    getRandom: () => 0,
  };
}

/** Lists the sets of returning servers that the health filter may let pass, the one of all of them first. */
export function listPassingSets(
  context: ExplainContext,
  service: string,
): {sets: ReadonlyArray<ReadonlySet<string>>; isComplete: boolean} {
  const returning = context.state
    .listUsable(service)
    .map(({id}) => id)
    .filter(id => {
      const chance = context.health.getUsableChance(id);
      return chance > 0 && chance < 1;
    });
  if (returning.length > MAX_COMBINED) {
    const sets = [new Set(returning), new Set<string>()];
    return {sets, isComplete: false};
  }
  const sets = Array.from(
    {length: 2 ** returning.length},
    (_, bits) =>
      new Set(returning.filter((id, index) => ((bits >> index) & 1) === 0)),
  );
  return {sets, isComplete: true};
}
