/** Builds the message by which the holder tells the other nodes which windows are reported. */
import type {UsageLedger} from './usage_ledger';
import type {UsageDoneMessage} from './usage_messages';
import type {UsageWindows} from './usage_windows';

/** Options of the message. */
export interface UsageDoneOptions {
  readonly nodeName: string;
  readonly windows: UsageWindows;
  readonly ledger: UsageLedger;
  readonly era: number;
  readonly fencingNumber: number;
}

/** Windows named in a message; more than one, because the message about a window may be lost. */
const DONE_WINDOWS = 3;

/** Creates the message. The end of the topic is stated only when no window with a record is open, because other nodes do not read what is before it. */
export function createUsageDone(options: UsageDoneOptions): UsageDoneMessage {
  const {nodeName, windows, ledger, era, fencingNumber} = options;
  const endOffset = ledger.tryGetEnd();
  const hasOpenRecord = windows
    .listOpen()
    .some(windowId => ledger.tryFind(windowId) !== undefined);
  return {
    kind: 'usage-done',
    from: nodeName,
    windowIds: windows.listDone(DONE_WINDOWS),
    ...(endOffset === undefined || hasOpenRecord ? {} : {endOffset}),
    era,
    fencingNumber,
  };
}
