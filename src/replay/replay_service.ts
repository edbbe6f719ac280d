/** The server of a plain service in a replay: a call runs at once and is answered later. */

/** One server of a plain service. */
export interface ReplayService {
  readonly id: string;
  /** Time between a call and its answer, in milliseconds. */
  readonly durationMs: number;
  /** Runs a call and returns the answer's body. */
  run(requestId: string, body: string): string;
}

/** Options of a service's server. */
export interface ReplayServiceOptions {
  readonly id: string;
  readonly durationMs: number;
  readonly onRun: (server: string, requestId: string, body: string) => void;
}

/** Creates the server of a plain service. */
export function createReplayService(
  options: ReplayServiceOptions,
): ReplayService {
  const {id, durationMs} = options;
  return {
    id,
    durationMs,
    run: (requestId, body) => {
      options.onRun(id, requestId, body);
      return '{"done":true}';
    },
  };
}
