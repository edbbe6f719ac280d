/** Maps the gateway's `FleetStore` interface to topics of the platform's store. */
import type {Result} from 'ts-results';
import {
  type AuthorityState,
  computeFencingNumber,
  type ConfigPage,
  type EntryChange,
  type EntryPage,
  type FleetStore,
  type NodeRecord,
  type QuarantinePage,
  type QuarantineRecord,
  type StoreFailure,
} from '../gateway';
import {encodeGrant, tryFindGrant} from './grant_records';
import {tryParseConfig} from './operator_config';
import {tryParseEntry} from './server_entry';
import type {NewestRecords, StoreClient} from './store_client';
import {encodeKeyedRecord, tryDecodeKeyedRecord} from './store_records';
import {readToEnd} from './topic_reader';
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
  /** Grants of the authority to change the engines' stages; each record is the holder's name and the era in which it was asked for. */
  Authority: 'authority',
} as const;
const CONFIG_KEY = 'config';

/** Creates a fleet store that uses a client of the platform's store. */
export function createFleetStore(client: StoreClient): FleetStore {
  return {
    getEra: client.getEra,
    observeEra: client.observeEra,
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
      return createConfigPage(record?.value, page.endOffset, page.era);
    });
  }

  async function waitForConfig(
    fromOffset: number,
    waitMs: number,
    offsetEra?: number,
  ): Promise<Result<ConfigPage, StoreFailure>> {
    const read = await client.read(
      Topic.Operator,
      fromOffset,
      waitMs,
      offsetEra,
    );
    return read.map(page => {
      const values = page.records.flatMap(record => {
        const keyed = tryDecodeKeyedRecord(record);
        return keyed?.key === CONFIG_KEY ? [keyed.value] : [];
      });
      return createConfigPage(values.at(-1), page.nextOffset, page.era);
    });
  }

  async function loadEntries(
    onPart?: (part: EntryPage) => void,
  ): Promise<Result<EntryPage, StoreFailure>> {
    const changes: EntryChange[] = [];
    const decode = (page: NewestRecords): EntryPage => {
      const part = page.records
        .slice(changes.length)
        .map(({key, value}) => createEntryChange(key, value));
      changes.push(...part);
      return {changes: part, nextOffset: page.endOffset, era: page.era};
    };
    const newest = await client.listNewestRecords(Topic.Servers, page =>
      onPart?.(decode(page)),
    );
    return newest.map(page => ({...decode(page), changes}));
  }

  async function readEntries(
    fromOffset: number,
    offsetEra?: number,
  ): Promise<Result<EntryPage, StoreFailure>> {
    const read = await client.read(Topic.Servers, fromOffset, 0, offsetEra);
    return read.map(page => ({
      changes: page.records.flatMap(record => {
        const keyed = tryDecodeKeyedRecord(record);
        return keyed === undefined
          ? []
          : [createEntryChange(keyed.key, keyed.value)];
      }),
      nextOffset: page.nextOffset,
      era: page.era,
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
    const read = await readToEnd(client, Topic.Authority, fromOffset);
    return read.map(({records, endOffset, era}) => {
      // The newest grant decides, so it does not matter if older ones have expired.
      const grant = tryFindGrant(records);
      return {
        endOffset,
        ...(grant === undefined ? {} : {holder: grant.holder}),
        era,
        mayLackGrants: (grant?.era ?? 0) < era,
      };
    });
  }

  /** Appends a grant; the fencing number rises with the era and with the grant's offset, and is never 0. */
  async function claimAuthority(
    holder: string,
    expectedEndOffset: number,
    offsetEra = client.getEra(),
  ): Promise<Result<number, StoreFailure>> {
    const record = encodeGrant({holder, era: offsetEra});
    const append = await client.append(
      Topic.Authority,
      [record],
      expectedEndOffset,
      offsetEra,
    );
    return append.map(offset => computeFencingNumber(offsetEra, offset + 1));
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
      era: page.era,
    }));
  }

  function appendQuarantine(
    entry: QuarantineRecord & {readonly isActive: boolean},
    expectedEndOffset: number,
    offsetEra?: number,
  ): Promise<Result<number, StoreFailure>> {
    const {partId, version, trialCount, isActive} = entry;
    const value = isActive ? JSON.stringify({version, trialCount}) : '';
    const record = encodeKeyedRecord(partId, value);
    return client.append(
      Topic.Quarantine,
      [record],
      expectedEndOffset,
      offsetEra,
    );
  }
}

function createConfigPage(
  text: string | undefined,
  nextOffset: number,
  era: number,
): ConfigPage {
  const config = text === undefined ? undefined : tryParseConfig(text);
  return {...(config === undefined ? {} : {config}), nextOffset, era};
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
