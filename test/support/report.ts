/** Engine reports for tests. */
import type {EngineReport} from '../../src/backends';

/** Returns the report of an idle, ready engine; `values` replaces parts of it. */
export function createTestReport(
  engine: string,
  values: Partial<EngineReport> = {},
): EngineReport {
  return {
    engine,
    sequence: 1,
    incarnation: '1',
    role: 'mixed',
    state: 'ready',
    models: [],
    adapters: [],
    version: '1',
    running: 0,
    waiting: 0,
    prefillTokens: 0,
    decodeTokens: 0,
    freePieces: 1,
    totalPieces: 1,
    prefillTokensPerS: 1,
    decodeStepMs: 1,
    decodeStepMsPerRequest: 1,
    maxRunning: 1,
    fencingNumber: 0,
    ...values,
  };
}
