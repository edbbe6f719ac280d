/** Checks that need several keys at once; they run on a file with other faults too. */
import {type Message, messages} from '../diagnostics';
import {createFaultAt, type TomlDocument} from './toml_check';

type Table = Readonly<Record<string, unknown>>;

const SECRETS = ['peer_secret', 'resume_secret'];
const LOOPBACK_PATTERN = /^(?:127\.\d+\.\d+\.\d+|localhost|\[::1\]):/;

/** Collects the faults of a node's settings. */
export function collectSettingsFaults(document: TomlDocument): Message[] {
  const {value} = document;
  return [
    ...collectAddressFaults(document, listListenAddresses(value)),
    ...collectDuplicates(document, ['operator'], 'name'),
    ...collectDuplicates(document, ['backend_server'], 'id'),
    ...collectServiceFaults(document),
    ...collectSecretFaults(document),
  ];
}

/** Collects the faults of the stand-ins' settings. */
export function collectStandinsFaults(document: TomlDocument): Message[] {
  const standins = getTable(document.value['standins']);
  const addresses: Address[] = [];
  for (const name of ['log_listen', 'vm_list_listen', 'weight_store_listen']) {
    addresses.push({path: ['standins', name], address: standins[name]});
  }
  for (const kind of ['engine', 'service']) {
    listTables(standins[kind]).forEach((item, index) => {
      addresses.push({
        path: ['standins', kind, index, 'listen'],
        address: item['listen'],
      });
    });
  }
  return [
    ...collectAddressFaults(document, addresses),
    ...collectDuplicates(document, ['standins', 'engine'], 'id'),
    ...collectDuplicates(document, ['standins', 'service'], 'id'),
    ...collectDuplicates(document, ['standins', 'node'], 'id'),
  ];
}

interface Address {
  readonly path: readonly PropertyKey[];
  readonly address: unknown;
}

function listListenAddresses(value: Table): Address[] {
  return Object.entries(getTable(value['listen'])).map(([name, address]) => ({
    path: ['listen', name],
    address,
  }));
}

function collectAddressFaults(
  document: TomlDocument,
  addresses: readonly Address[],
): Message[] {
  const seen = new Map<string, string>();
  const faults: Message[] = [];
  for (const {path, address} of addresses) {
    if (typeof address !== 'string' || address.endsWith(':0')) continue;
    const key = path.join('.');
    const other = seen.get(address);
    if (other === undefined) {
      seen.set(address, key);
      continue;
    }
    faults.push(
      createFaultAt(document, path, messages.AddressInUseTwice, [
        key,
        address,
        other,
      ]),
    );
  }
  return faults;
}

function collectDuplicates(
  document: TomlDocument,
  path: readonly string[],
  name: string,
): Message[] {
  let value: unknown = document.value;
  for (const part of path) value = getTable(value)[part];
  const seen = new Set<unknown>();
  const faults: Message[] = [];
  listTables(value).forEach((item, index) => {
    const found = item[name];
    if (typeof found === 'string' && seen.has(found)) {
      const full = [...path, index, name];
      faults.push(
        createFaultAt(document, full, messages.DuplicateName, [
          `${path.join('.')}[${index}].${name}`,
          found,
        ]),
      );
    }
    seen.add(found);
  });
  return faults;
}

function collectServiceFaults(document: TomlDocument): Message[] {
  return listTables(document.value['backend_server']).flatMap((item, index) =>
    item['kind'] === 'service' && item['service'] === undefined
      ? [
          createFaultAt(
            document,
            ['backend_server', index],
            messages.ServiceNameMissing,
            [`backend_server[${index}]`],
          ),
        ]
      : [],
  );
}

function collectSecretFaults(document: TomlDocument): Message[] {
  const secrets = getTable(document.value['secrets']);
  const faults = SECRETS.filter(
    name => `${name}_file` in secrets && `${name}_env` in secrets,
  ).map(name =>
    createFaultAt(
      document,
      ['secrets', `${name}_env`],
      messages.SecretSourceConflict,
      [`secrets.${name}`],
    ),
  );
  const peers = getTable(document.value['listen'])['peers'];
  const hasSecret =
    'peer_secret_file' in secrets || 'peer_secret_env' in secrets;
  if (
    typeof peers === 'string' &&
    !LOOPBACK_PATTERN.test(peers) &&
    !hasSecret
  ) {
    faults.push(
      createFaultAt(document, ['listen', 'peers'], messages.SecretMissing, [
        peers,
      ]),
    );
  }
  return faults;
}

function getTable(value: unknown): Table {
  return typeof value === 'object' && value !== null ? (value as Table) : {};
}

function listTables(value: unknown): Table[] {
  return Array.isArray(value) ? value.map(getTable) : [];
}
