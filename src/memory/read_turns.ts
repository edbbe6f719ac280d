/** Spreads the reading of long answers over the turns of the event loop, so that short ones are relayed in between. */

/** Limits how much of the long answers is read in one turn of the event loop. */
export interface ReadTurns {
  /** Reads on, at once or in a later turn; `receivedBytes` is what has been received of the answer so far. */
  submit(receivedBytes: number, read: () => void): void;
  /** Number of reads that wait for a turn. */
  count(): number;
}

/** Length up to which an answer is read without waiting, in bytes: two parts as the runtime reads them, so that the relay's buffer of 64 KiB is not full while its answer waits. */
const SHORT_BYTES = 131_072;
/** Length up to which an answer is read before longer ones, in bytes. */
const MEDIUM_BYTES = 262_144;
/** Reads of up to 64 KiB in a turn. The runtime accepts one connection in a turn; with eight reads, a thousand new callers waited up to 1.7 s. Without a limit, it reads up to 2 MiB from each socket. */
const READS_PER_TURN = 2;
/** Reads of longer answers in a turn, however many medium ones wait. */
const MIN_LONG_READS = 1;

/** Creates turns; `schedule` calls back in the next turn of the event loop. */
export function createReadTurns(
  schedule: (callback: () => void) => void,
): ReadTurns {
  /** First in, first out. */
  const medium: Array<() => void> = [];
  const long: Array<() => void> = [];
  let isScheduled = false;
  return {submit, count: () => medium.length + long.length};

  function submit(receivedBytes: number, read: () => void): void {
    if (receivedBytes < SHORT_BYTES) {
      read();
      return;
    }
    (receivedBytes < MEDIUM_BYTES ? medium : long).push(read);
    scheduleTurn();
  }

  function scheduleTurn(): void {
    if (isScheduled || medium.length + long.length === 0) return;
    isScheduled = true;
    schedule(runTurn);
  }

  function runTurn(): void {
    isScheduled = false;
    const first = medium.splice(0, READS_PER_TURN);
    const rest = Math.max(MIN_LONG_READS, READS_PER_TURN - first.length);
    for (const read of [...first, ...long.splice(0, rest)]) read();
    scheduleTurn();
  }
}
