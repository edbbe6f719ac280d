/** Every message of the command line, in one table. */
import {MessageCategory, type MessageDefinition} from './message_types';

function createError(
  code: string,
  template: string,
  cause: string,
  remedy: string,
): MessageDefinition {
  return {code, category: MessageCategory.Error, template, cause, remedy};
}

/** The messages by name. Codes AS1000 to AS1999 are about files, AS2000 to AS2999 about nodes and the log. */
export const messages = {
  FileUnreadable: createError(
    'AS1001',
    "cannot read '{0}': {1}",
    'The file does not exist or may not be read by this user.',
    'Check the path and the rights of the file.',
  ),
  TomlSyntaxError: createError(
    'AS1002',
    'TOML syntax: {0}',
    'The file is not valid TOML; nothing after this place has been checked.',
    'Mend the place named and check the file again.',
  ),
  UnknownKey: createError(
    'AS1101',
    "unknown key '{0}'{1}",
    'The key is misspelt, stands in the wrong table, or belongs to another version.',
    'Use the key that the message names, or look it up in settings_reference.md.',
  ),
  MissingKey: createError(
    'AS1102',
    "missing key '{0}': expected {1}",
    'A key without a default is not in the file.',
    'Add the key to the table named.',
  ),
  WrongType: createError(
    'AS1103',
    "key '{0}': expected {1}, found {2}",
    'The value is of another type than the key takes.',
    'Write the value as expected; mind the quotes around text.',
  ),
  OutOfRange: createError(
    'AS1104',
    "key '{0}': expected {1}",
    'A number, text or list is too small or too large.',
    'Choose a value within the bounds named.',
  ),
  InvalidChoice: createError(
    'AS1105',
    "key '{0}': expected one of {1}{2}",
    'The key takes only certain words.',
    'Use one of the words named.',
  ),
  InvalidFormat: createError(
    'AS1106',
    "key '{0}': expected {1}",
    'A text does not have the form that the key takes, such as HOST:PORT or a SHA-256 in hexadecimal.',
    'Write the value in the form named.',
  ),
  InvalidValue: createError(
    'AS1107',
    "key '{0}': {1}",
    'The value breaks a rule that the message states.',
    'Follow the rule in the message.',
  ),
  DuplicateName: createError(
    'AS1201',
    "key '{0}': '{1}' is used twice",
    'Names of operators and ids of backend servers, engines, services and stages must be unique.',
    'Rename one of the two.',
  ),
  DuplicateAddress: createError(
    'AS1202',
    "key '{0}': '{1}' is already the address of '{2}'",
    'Two listeners are set to one address and port.',
    'Give each listener a port of its own.',
  ),
  InvalidTemplate: createError(
    'AS1203',
    "client account '{0}': {1}",
    'The template is well-formed, but its parts contradict one another.',
    'Follow the rule in the message; `anvilstack template --help` shows a template.',
  ),
  TemplateWarning: {
    code: 'AS1208',
    category: MessageCategory.Warning,
    template: "client account '{0}': {1}",
    cause:
      'The template can be accepted, but a part of it may not do what is meant.',
    remedy: 'Read the message again; nothing must be changed.',
  },
  SecretSourceConflict: createError(
    'AS1204',
    "key '{0}': give either '{0}_file' or '{0}_env', not both",
    'A secret has two sources.',
    'Remove one of the two keys.',
  ),
  SecretUnavailable: createError(
    'AS1205',
    "the secret '{0}' cannot be read from {1}",
    'The file of the secret is missing, empty or not readable, or the environment variable is not set.',
    'Write the file or set the variable before the node starts.',
  ),
  PeerSecretMissing: createError(
    'AS1206',
    "key 'listen.peers': '{0}' can be reached from other machines, so 'secrets.peer_secret_file' or 'secrets.peer_secret_env' is needed",
    'Calls between nodes are authenticated by a shared secret, and none is given.',
    'Give the secret, the same on every node of the deployment.',
  ),
  ServiceNameMissing: createError(
    'AS1207',
    "key '{0}': a plain service needs the key 'service'",
    'A backend server of kind `service` does not say which service it is part of.',
    'Add `service = "NAME"`.',
  ),
  NodeUnreachable: createError(
    'AS2001',
    'no answer from {0}: {1}',
    'The node is down, the address is wrong, or the network is partitioned.',
    'Check `--node` or ANVILSTACK_NODE: it is the address of the operators listener, such as http://127.0.0.1:8201. Any node of the deployment will do.',
  ),
  TokenRefused: createError(
    'AS2002',
    "{0} refused the operator's token",
    'The token is missing, unknown to the node, or lacks the right.',
    'Set ANVILSTACK_TOKEN or give --token-file; the settings hold the SHA-256 of each token under `[[operator]]`.',
  ),
  RequestRefused: createError(
    'AS2003',
    '{0} refused the request: {1}',
    'The node understood the request and did not carry it out.',
    'Read the reason in the message.',
  ),
  TemplateConflict: createError(
    'AS2004',
    "client account '{0}': {1}",
    'Another operator published or amended the template first; the log decided the race.',
    'Run `anvilstack template show ACCOUNT`, carry your change over, and amend with `--base VERSION` of the version in force.',
  ),
  NotAcceptedYet: createError(
    'AS2005',
    "client account '{0}': not accepted yet: {1}",
    "The platform's log did not answer in time. The change may still take effect.",
    'Run `anvilstack template show ACCOUNT` before you try again.',
  ),
  NotInForce: createError(
    'AS2006',
    "client account '{0}': version {1} is not in force on {2}",
    'A live node has not read the version within the wait.',
    'Run `anvilstack fleet`; a node that cannot reach the log keeps the state that was in force.',
  ),
  TokenMissing: createError(
    'AS2007',
    "no operator's token: set ANVILSTACK_TOKEN or give --token-file",
    'Calls to a node carry the token of an operator, and none was given.',
    'Put the token into the environment or into a file that only you can read.',
  ),
  UnexpectedNodeResponse: createError(
    'AS2008',
    '{0} answered in an unknown form: {1}',
    'The address belongs to another program, or to another version of this one.',
    'Check the address; compare `anvilstack --version` with the node.',
  ),
  NodeNotSpecified: createError(
    'AS2010',
    'no node named: give --node URL or set ANVILSTACK_NODE',
    'The command asks a running node, and no address was given.',
    'Give the address of the operators listener of any node, such as http://127.0.0.1:8201; several may be given, parted by commas.',
  ),
  InvalidOptionValue: createError(
    'AS2011',
    "option '{0}': {1}",
    'An option has a value that the command does not take.',
    'Run the command with --help.',
  ),
  ExpectationFailed: createError(
    'AS2009',
    'not as expected: {0}',
    'The state of the fleet is not the end state that the file states.',
    'Look into `anvilstack progress` and `anvilstack timeline --client-account ACCOUNT`.',
  ),
  InvalidTrace: createError(
    'AS2012',
    'trace: {0}',
    'A line of the trace is not in the form that replay takes.',
    'Mend the line named; docs/operators lists the fields of a trace.',
  ),
  OutOfBounds: createError(
    'AS2013',
    '{0} is {1}, stated is {2}',
    'The outcome of the replay is not within the bounds stated beside the trace.',
    'Compare with an earlier build or with --policy round-robin; the seed is part of the outcome.',
  ),
  TaskFailed: createError(
    'AS3001',
    "task '{0}' failed for good: {1}",
    'A task of the process failed more often than its limit of restarts allows.',
    'The process stops cleanly and the platform replaces it. The time line holds the failures before.',
  ),
  TaskRestarted: {
    code: 'AS3002',
    category: MessageCategory.Warning,
    template: "task '{0}' failed and starts again in {1} ms: {2}",
    cause: 'A task of the process ended with an error.',
    remedy: 'Nothing, unless it goes on; then read the cause in the message.',
  },
  TaskStopTimeout: createError(
    'AS3005',
    "task '{0}' did not end in time",
    'A task waits for something that does not come, such as a caller that reads no more.',
    'The process exits without it; the requests it had open are cut.',
  ),
  UnhandledError: createError(
    'AS3003',
    'unhandled error: {0}',
    'A fault of this program: an error that no task has handled.',
    'The process stops cleanly. Report it with the log lines around it.',
  ),
  CertificateReloadFailed: createError(
    'AS3006',
    "listener '{0}': the changed certificates cannot be used: {1}",
    'A certificate or key file has changed, and the pair cannot be read or does not fit.',
    'Mend the files; the pair that was in use stays in use until then.',
  ),
  StartFailed: createError(
    'AS3004',
    'cannot start: {0}',
    'A listener could not be opened: the port is taken, the address is not of this machine, or a certificate cannot be read.',
    'Mend what the message names and start again.',
  ),
} as const satisfies Record<string, MessageDefinition>;
