/** Collects the young streams of this node that break off together with the connections to an engine. */
import type {Clock} from '../runtime/types';
import type {BrokenStream, CrashReport} from './crash_evidence';
import type {BackendEntry} from './types';

/** The reports of this node. */
export interface CrashReports {
  /** Counts a stream that is sent to an engine. */
  recordSent(): void;
  /** Adds a stream that broke off to the report on its server. */
  recordBroken(server: BackendEntry, stream: BrokenStream): void;
}

/** Options of the reports. */
export interface CrashReportsOptions {
  readonly nodeName: string;
  readonly clock: Pick<Clock, 'getMonotonicMs' | 'schedule'>;
  /** True when any connection to the server is open, so that its process has not ended. */
  readonly isConnected: (serverId: string) => boolean;
  readonly onReport: (report: CrashReport) => void;
}

/** Time in which all connections to a crashed server break off at one node, in milliseconds. */
const REPORT_DELAY_MS = 15;
/** Time constant with which the counts decay, in milliseconds: many times the time between two crashes that have one cause. */
const TIME_CONSTANT_MS = 15_000;

/** Creates reports of a node that has not sent any stream. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const {nodeName, clock, onReport} = options;
  /** Streams that broke off, by server, until they are reported. */
  const unreported = new Map<string, BrokenStream[]>();
  let streamCount = 0;
  let brokenCount = 0;
  let begunCount = 0;
  let updatedAtMs = clock.getMonotonicMs();
  return {
    recordSent: () => {
      updateCounts();
      streamCount++;
    },
    recordBroken,
  };

  function recordBroken(server: BackendEntry, stream: BrokenStream): void {
    const {id: serverId, startedAtMs} = server;
    const key = `${serverId} ${startedAtMs}`;
    const known = unreported.get(key);
    if (known !== undefined) {
      known.push(stream);
      return;
    }
    const streams = [stream];
    unreported.set(key, streams);
    clock.schedule(REPORT_DELAY_MS, () => {
      unreported.delete(key);
      if (options.isConnected(serverId)) return;
      updateCounts();
      brokenCount += streams.length;
      begunCount += streams.filter(({hasBegun}) => hasBegun).length;
      onReport({
        from: nodeName,
        serverId,
        startedAtMs,
        streams,
        streamCount,
        brokenCount,
        begunCount,
      });
    });
  }

  function updateCounts(): void {
    const nowMs = clock.getMonotonicMs();
    const factor = Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
    streamCount *= factor;
    brokenCount *= factor;
    begunCount *= factor;
    updatedAtMs = nowMs;
  }
}
