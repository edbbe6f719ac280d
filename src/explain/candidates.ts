/** Describes the backend servers of a service, and why each of them is or is not chosen. */
import type {BackendEntry} from '../gateway/types';
import type {CandidateExplanation, ExplainContext} from './types';
import type {DecisionView} from './view';

/** What a stage of the decision says of a server. */
export type CandidateDetail = Partial<CandidateExplanation>;

/** Options of the description. */
export interface CandidatesOptions {
  readonly context: ExplainContext;
  readonly view: DecisionView;
  readonly service: string;
  readonly chosenId: string | undefined;
  readonly possibleIds: ReadonlySet<string>;
  /** Ids of the servers that the filters let pass. */
  readonly passedIds: ReadonlySet<string>;
  /** Returns the predictions for a server, and the cause for which it is not chosen although the filters let it pass. */
  readonly getDetail: (server: BackendEntry) => CandidateDetail;
}

/** Describes all listed servers of the service. */
export function listCandidates(
  options: CandidatesOptions,
): readonly CandidateExplanation[] {
  const {context, view, service, chosenId, possibleIds, passedIds} = options;
  const usable = context.state.listUsable(service);
  const usableIds = new Set(usable.map(({id}) => id));
  const others = context.state
    .listEntries()
    .filter(entry => entry.service === service && !usableIds.has(entry.id));
  return [...usable, ...others].map(createRow);

  function createRow(server: BackendEntry): CandidateExplanation {
    const {id, failureDomain, stage} = server;
    const limitPerS = view.limits.tryGetLimitPerS(server);
    const isPossible = possibleIds.has(id);
    const {cause, ...detail}: CandidateDetail = passedIds.has(id)
      ? options.getDetail(server)
      : {cause: getFilterCause(server)};
    const lostCause = isPossible
      ? 'near equal: may be chosen at random'
      : cause;
    return {
      id,
      failureDomain,
      ...(stage === undefined ? {} : {stage}),
      isChosen: id === chosenId,
      isPossible,
      ...(id === chosenId || lostCause === undefined ? {} : {cause: lostCause}),
      healthyChance: context.health.getUsableChance(id),
      pausedMs: context.pauses.getRemainingMs(server),
      ...(limitPerS === undefined ? {} : {limitPerS}),
      limitWaitMs: view.limits.getWaitMs(server),
      timeFactor: view.capacities.getRelativeFactor(server, 0),
      ...detail,
    };
  }

  function getFilterCause(server: BackendEntry): string {
    if (!usableIds.has(server.id)) return 'is leaving';
    if (context.isChangingStage(server.id)) return 'changes its stage';
    if (context.pauses.isPaused(server)) return 'asked for a pause';
    if (!view.limits.canSend(server)) return 'its limit leaves no room';
    return 'ejected after failures';
  }
}
