/** Compares where each client account's move stands with what operators expect. */
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';

const expectedSchema = z.strictObject({
  client_account: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        /** Name of the stage it is to stand at. */
        stage: z.string().min(1),
        /** True when that stage is to be complete. */
        complete: z.boolean().default(true),
      }),
    )
    .min(1),
});

/** What operators expect. */
export type ExpectedProgress = z.infer<typeof expectedSchema>;

/** Where one client account stands, as `GET /operators/progress` lists it. */
export interface ProgressRow {
  readonly client_account: string;
  readonly template_version: number;
  /** Absent before the first stage. */
  readonly stage: string | null;
  readonly is_complete: boolean;
  /** When the stage was entered, as an ISO date. */
  readonly entered_at: string | null;
  readonly next_stage: string | null;
  /** What the move waits for, or why it stands where it does. */
  readonly cause: string;
}

/** Parses the text of a file of expectations. */
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

/** Returns one line for each difference; none when all stand as expected. */
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
        `${item.name}: stands at ${row.stage ?? 'no stage'}, expected ${item.stage} (${row.cause})`,
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
