/** Lists the progress of each client account's move, for operators. */
import type {ProgressRow} from './expected_progress';
import type {MovingAccount} from './move_index';
import {tryGetNextStage, tryGetStageInForce} from './stage';
import type {MoveProgress} from './types';

/** Options of `listProgressRows`. */
export interface ProgressRowsOptions {
  readonly accounts: readonly MovingAccount[];
  readonly tryGetProgress: (clientAccount: string) => MoveProgress | undefined;
  /** Returns what a move waits for, or undefined when this node has not planned it. */
  readonly tryGetCause: (clientAccount: string) => string | undefined;
}

/** Returns a row for each moving client account, sorted by name. */
export function listProgressRows(options: ProgressRowsOptions): ProgressRow[] {
  return options.accounts
    .map(account => createRow(account, options))
    .sort((left, right) =>
      left.client_account < right.client_account ? -1 : 1,
    );
}

function createRow(
  {template, templateVersion}: MovingAccount,
  options: ProgressRowsOptions,
): ProgressRow {
  const {client_account: account, move} = template;
  const progress = options.tryGetProgress(account);
  const inForce =
    move === undefined ? undefined : tryGetStageInForce(move, progress);
  const next = move === undefined ? undefined : tryGetNextStage(move, inForce);
  return {
    client_account: account,
    template_version: templateVersion,
    stage: inForce?.name ?? null,
    is_complete:
      progress?.isComplete === true && progress.stage === inForce?.name,
    entered_at:
      progress === undefined
        ? null
        : new Date(progress.enteredAtMs).toISOString(),
    next_stage: next?.name ?? null,
    cause:
      options.tryGetCause(account) ??
      progress?.cause ??
      `${move?.stages[0].name} starts at ${move?.stages[0].starts_at}`,
  };
}
