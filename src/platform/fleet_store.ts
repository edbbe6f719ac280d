/** Maps the gateway's `FleetStore` interface to topics of the platform's store. */
import type {Result} from 'ts-results';
import type {
  AuthorityState,
  ConfigPage,
  EntryChange,
  EntryPage,
  FleetStore,
  NodeRecord,
  QuarantinePage,
  QuarantineRecord,
  StoreFailure,
} from '../gateway';
import {tryParseConfig} from './operator_config';
import {tryParseEntry} from './server_entry';
import {
  encodeKeyedRecord,
  type RecordPage,
  type StoreClient,
  tryDecodeKeyedRecord,
} from './store_client';
import {
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  tryGetString,
  trySplitAddress,
} from './wire_decode';

const Topic = {
  /** The operator's records; the newest one with the key CONFIG_KEY is the whole configuration. */
  Operator: 'keyed.op',
  /** Service discovery: the entry of each backend server, keyed by server id. */
  Servers: 'keyed.servers',
  /** Nodes of the gateway, keyed by node name. */
  Nodes: 'keyed.nodes',
  /** Prompt parts that are kept away from engines, keyed by part id. */
  Quarantine: 'keyed.quarantine',
  /** Grants of the authority to change the engines' stages; each record is the holder's name. */
  Authority: 'authority',
} as const;
const CONFIG_KEY = 'config';

/** A fencing number is the store's era times this number, plus the offset of the grant plus 1. */
const ERA_FACTOR = 2 ** 32;

/** Creates a fleet store that uses a client of the platform's store; `getEra` returns how often the store has lost records. */
export function createFleetStore(
  client: StoreClient,
  getEra: () => number = () => 0,
): FleetStore {
  return {
    loadConfig,
    waitForConfig,
    loadEntries,
    readEntries,
    registerNode,
    listNodes,
    readAuthority,
    claimAuthority,
    loadQuarantine,
    appendQuarantine,
  };

  async function loadConfig(): Promise<Result<ConfigPage, StoreFailure>> {
    const newest = await client.listNewestRecords(Topic.Operator);
    return newest.map(page => {
      const record = page.records.find(item => item.key === CONFIG_KEY);
      return createConfigPage(record?.value, page.endOffset);
    });
  }

  async function waitForConfig(
    fromOffset: number,
    waitMs: number,
  ): Promise<Result<ConfigPage, StoreFailure>> {
    const read = await client.read(Topic.Operator, fromOffset, waitMs);
    return read.map(page => {
      const values = page.records.flatMap(record => {
        const keyed = tryDecodeKeyedRecord(record);
        return keyed?.key === CONFIG_KEY ? [keyed.value] : [];
      });
      return createConfigPage(values.at(-1), page.nextOffset);
    });
  }

  async function loadEntries(): Promise<Result<EntryPage, StoreFailure>> {
    const newest = await client.listNewestRecords(Topic.Servers);
    return newest.map(page => ({
      changes: page.records.map(({key, value}) =>
        createEntryChange(key, value),
      ),
      nextOffset: page.endOffset,
    }));
  }

  async function readEntries(
    fromOffset: number,
  ): Promise<Result<EntryPage, StoreFailure>> {
    const read = await client.read(Topic.Servers, fromOffset, 0);
    return read.map(page => ({
      changes: page.records.flatMap(record => {
        const keyed = tryDecodeKeyedRecord(record);
        return keyed === undefined
          ? []
          : [createEntryChange(keyed.key, keyed.value)];
      }),
      nextOffset: page.nextOffset,
    }));
  }

  async function registerNode(
    node: NodeRecord,
  ): Promise<Result<void, StoreFailure>> {
    const record = encodeKeyedRecord(node.name, JSON.stringify(node));
    return (await client.append(Topic.Nodes, [record])).map(() => undefined);
  }

  async function listNodes(): Promise<
    Result<readonly NodeRecord[], StoreFailure>
  > {
    const newest = await client.listNewestRecords(Topic.Nodes);
    return newest.map(page =>
      page.records.flatMap(({value}) => tryParseNodeRecord(value) ?? []),
    );
  }

  async function readAuthority(
    fromOffset = 0,
  ): Promise<Result<AuthorityState, StoreFailure>> {
    let read = await client.read(Topic.Authority, fromOffset, 0);
    // Older grants may have expired; the newest one decides, so the first retained offset will do.
    if (read.err && read.val.firstOffset !== undefined) {
      read = await client.read(Topic.Authority, read.val.firstOffset, 0);
    }
    // The store may return fewer records than there are.
    while (read.ok && isCutShort(read.val)) {
      read = await client.read(Topic.Authority, read.val.nextOffset, 0);
    }
    return read.map(page => {
      const holder = page.records.at(-1)?.toString('utf8');
      return {
        endOffset: page.nextOffset,
        ...(holder === undefined ? {} : {holder}),
      };
    });
  }

  /** Appends a grant. The fencing number contains the grant's offset plus 1, so that it is never 0, and the store's era, so that it increases when offsets are used again. */
  async function claimAuthority(
    holder: string,
    expectedEndOffset: number,
  ): Promise<Result<number, StoreFailure>> {
    const record = Buffer.from(holder);
    const append = await client.append(
      Topic.Authority,
      [record],
      expectedEndOffset,
    );
    return append.map(offset => getEra() * ERA_FACTOR + offset + 1);
  }

  async function loadQuarantine(): Promise<
    Result<QuarantinePage, StoreFailure>
  > {
    const newest = await client.listNewestRecords(Topic.Quarantine);
    return newest.map(page => ({
      records: page.records.flatMap(
        ({key, value}) => tryParseQuarantineRecord(key, value) ?? [],
      ),
      endOffset: page.endOffset,
    }));
  }

  function appendQuarantine(
    entry: QuarantineRecord & {readonly isActive: boolean},
    expectedEndOffset: number,
  ): Promise<Result<number, StoreFailure>> {
    const {partId, version, trialCount, isActive} = entry;
    const value = isActive ? JSON.stringify({version, trialCount}) : '';
    const record = encodeKeyedRecord(partId, value);
    return client.append(Topic.Quarantine, [record], expectedEndOffset);
  }
}

function isCutShort({records, nextOffset, endOffset}: RecordPage): boolean {
  return records.length > 0 && nextOffset < endOffset;
}

function createConfigPage(
  text: string | undefined,
  nextOffset: number,
): ConfigPage {
  const config = text === undefined ? undefined : tryParseConfig(text);
  return config === undefined ? {nextOffset} : {config, nextOffset};
}

function createEntryChange(id: string, text: string | undefined): EntryChange {
  if (text === undefined) return {id};
  const entry = tryParseEntry(id, text);
  return entry === undefined ? {id, isUnusable: true} : {id, entry};
}

function tryParseQuarantineRecord(
  partId: string,
  text: string,
): QuarantineRecord | undefined {
  const fields = tryGetFields(tryParseJson(text));
  const version = tryGetNumber(fields?.['version']);
  const trialCount = tryGetNumber(fields?.['trialCount']);
  if (version === undefined || trialCount === undefined) return undefined;
  return {partId, version, trialCount};
}

function tryParseNodeRecord(text: string): NodeRecord | undefined {
  const fields = tryGetFields(tryParseJson(text));
  const name = tryGetString(fields?.['name']);
  const failureDomain = tryGetString(fields?.['failureDomain']);
  const host = String(fields?.['host']);
  const peer = trySplitAddress(`${host}:${String(fields?.['peerPort'])}`);
  const control = trySplitAddress(`${host}:${String(fields?.['controlPort'])}`);
  if (name === undefined || failureDomain === undefined) return undefined;
  if (peer === undefined || control === undefined) return undefined;
  return {
    name,
    host,
    peerPort: peer.port,
    controlPort: control.port,
    failureDomain,
  };
}
