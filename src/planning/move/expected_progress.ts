/** Compares the progress of each client account's move with the progress that operators expect. */
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';

const expectedSchema = z.strictObject({
  client_account: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        /** Name of the stage that the move should have reached. */
        stage: z.string().min(1),
        /** True when that stage should be complete. */
        complete: z.boolean().default(true),
      }),
    )
    .min(1),
});

/** Progress that operators expect. */
export type ExpectedProgress = z.infer<typeof expectedSchema>;

/** Progress of one client account's move, as listed by `GET /operators/progress`. */
export interface ProgressRow {
  readonly client_account: string;
  readonly template_version: number;
  /** Stage in force; null before the first one. */
  readonly stage: string | null;
  readonly is_complete: boolean;
  /** Time when the stage was entered, as an ISO 8601 date; null before the first stage. */
  readonly entered_at: string | null;
  /** Null when the move is at its last stage. */
  readonly next_stage: string | null;
  /** What the move waits for, or why it entered or completed the stage. */
  readonly cause: string;
}

/** Parses a TOML file of expected progress. The error says what is wrong with the file. */
export function parseExpectedProgress(
  text: string,
): Result<ExpectedProgress, string> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
  const parsed = expectedSchema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
}

/** Returns one line for each difference; an empty list when all moves are as expected. */
export function compareProgress(
  expected: ExpectedProgress,
  rows: readonly ProgressRow[],
): string[] {
  const byAccount = new Map(rows.map(row => [row.client_account, row]));
  const differences: string[] = [];
  for (const item of expected.client_account) {
    const row = byAccount.get(item.name);
    if (row === undefined) {
      differences.push(`${item.name}: has no move`);
      continue;
    }
    if (row.stage !== item.stage) {
      differences.push(
        `${item.name}: is at ${row.stage ?? 'no stage'}, expected ${item.stage} (${row.cause})`,
      );
      continue;
    }
    if (row.is_complete !== item.complete) {
      const state = row.is_complete ? 'complete' : 'not complete';
      differences.push(
        `${item.name}: ${item.stage} is ${state} (${row.cause})`,
      );
    }
  }
  return differences;
}
