/** Checks that involve several keys. They work on the parsed TOML, so they also run on files that fail the schema check. */
import {type Message, messages} from '../diagnostics';
import {createMessageAt, type TomlDocument} from './toml_check';

type Table = Readonly<Record<string, unknown>>;

const SECRET_NAMES = ['peer_secret', 'resume_secret'];
const LOOPBACK_PATTERN = /^(?:127\.\d+\.\d+\.\d+|localhost|\[::1\]):/;

/** Returns the cross-key errors of a node's settings. */
export function collectSettingsErrors(document: TomlDocument): Message[] {
  const {value} = document;
  return [
    ...collectAddressErrors(document, listListenAddresses(value)),
    ...collectDuplicateErrors(document, ['operator'], 'name'),
    ...collectDuplicateErrors(document, ['backend_server'], 'id'),
    ...collectServiceErrors(document),
    ...collectSecretErrors(document),
  ];
}

/** Returns the cross-key errors of the stand-ins' settings. */
export function collectStandinsErrors(document: TomlDocument): Message[] {
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
    ...collectAddressErrors(document, addresses),
    ...collectDuplicateErrors(document, ['standins', 'engine'], 'id'),
    ...collectDuplicateErrors(document, ['standins', 'service'], 'id'),
    ...collectDuplicateErrors(document, ['standins', 'node'], 'id'),
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

function collectAddressErrors(
  document: TomlDocument,
  addresses: readonly Address[],
): Message[] {
  const seen = new Map<string, string>();
  const errors: Message[] = [];
  for (const {path, address} of addresses) {
    if (typeof address !== 'string' || address.endsWith(':0')) continue;
    const key = path.join('.');
    const other = seen.get(address);
    if (other === undefined) {
      seen.set(address, key);
      continue;
    }
    errors.push(
      createMessageAt(document, path, messages.DuplicateAddress, [
        key,
        address,
        other,
      ]),
    );
  }
  return errors;
}

function collectDuplicateErrors(
  document: TomlDocument,
  path: readonly string[],
  name: string,
): Message[] {
  let value: unknown = document.value;
  for (const part of path) value = getTable(value)[part];
  const seen = new Set<unknown>();
  const errors: Message[] = [];
  listTables(value).forEach((item, index) => {
    const found = item[name];
    if (typeof found === 'string' && seen.has(found)) {
      const fullPath = [...path, index, name];
      errors.push(
        createMessageAt(document, fullPath, messages.DuplicateName, [
          `${path.join('.')}[${index}].${name}`,
          found,
        ]),
      );
    }
    seen.add(found);
  });
  return errors;
}

function collectServiceErrors(document: TomlDocument): Message[] {
  return listTables(document.value['backend_server']).flatMap((item, index) =>
    item['kind'] === 'service' && item['service'] === undefined
      ? [
          createMessageAt(
            document,
            ['backend_server', index],
            messages.ServiceNameMissing,
            [`backend_server[${index}]`],
          ),
        ]
      : [],
  );
}

function collectSecretErrors(document: TomlDocument): Message[] {
  const secrets = getTable(document.value['secrets']);
  const errors = SECRET_NAMES.filter(
    name => `${name}_file` in secrets && `${name}_env` in secrets,
  ).map(name =>
    createMessageAt(
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
    errors.push(
      createMessageAt(
        document,
        ['listen', 'peers'],
        messages.PeerSecretMissing,
        [peers],
      ),
    );
  }
  return errors;
}

function getTable(value: unknown): Table {
  return typeof value === 'object' && value !== null ? (value as Table) : {};
}

function listTables(value: unknown): Table[] {
  return Array.isArray(value) ? value.map(getTable) : [];
}
