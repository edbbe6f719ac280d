/** The table of all coded messages that the command line and the log print. */
import {MessageCategory, type MessageDefinition} from './message_types';

function createError(
  code: string,
  template: string,
  cause: string,
  remedy: string,
): MessageDefinition {
  return {code, category: MessageCategory.Error, template, cause, remedy};
}

/**
 * Message definitions by name. Codes AS1000 to AS1999 are about files, AS2000 to
 * AS2999 about nodes, the platform's log and the arguments of commands, AS3000 to
 * AS3999 about the running process.
 */
export const messages = {
  FileUnreadable: createError(
    'AS1001',
    "cannot read '{0}': {1}",
    'The file does not exist or this user has no permission to read it.',
    'Check the path and the permissions of the file.',
  ),
  TomlSyntaxError: createError(
    'AS1002',
    'TOML syntax: {0}',
    'The file is not valid TOML. Nothing after this location has been checked.',
    'Fix the syntax at this location and check the file again.',
  ),
  UnknownKey: createError(
    'AS1101',
    "unknown key '{0}'{1}",
    'The key is misspelt, is in the wrong table, or belongs to another version.',
    'Use the suggested key, or look the key up in settings_reference.md.',
  ),
  MissingKey: createError(
    'AS1102',
    "missing key '{0}': expected {1}",
    'A required key is not in the file.',
    'Add the key to its table.',
  ),
  WrongType: createError(
    'AS1103',
    "key '{0}': expected {1}, found {2}",
    'The value does not have the type of the key.',
    'Write a value of the expected type. Text must be in quotes, numbers and booleans must not.',
  ),
  OutOfRange: createError(
    'AS1104',
    "key '{0}': expected {1}",
    'A number is out of range, or a text or list is too short or too long.',
    'Choose a value within the bounds in the message.',
  ),
  InvalidChoice: createError(
    'AS1105',
    "key '{0}': expected one of {1}{2}",
    'The value is not one of the allowed values.',
    'Use one of the values in the message.',
  ),
  InvalidFormat: createError(
    'AS1106',
    "key '{0}': expected {1}",
    'The text does not have the required format, such as HOST:PORT or a SHA-256 in hexadecimal.',
    'Write the value in the format in the message.',
  ),
  InvalidValue: createError(
    'AS1107',
    "key '{0}': {1}",
    'The value violates the rule in the message.',
    'Follow the rule in the message.',
  ),
  DuplicateName: createError(
    'AS1201',
    "key '{0}': '{1}' is used twice",
    'Names of operators and ids of backend servers, engines, services and stages must be unique.',
    'Rename one of them.',
  ),
  DuplicateAddress: createError(
    'AS1202',
    "key '{0}': '{1}' is already the address of '{2}'",
    'Two listeners are configured with the same address and port.',
    'Use a different port for each listener.',
  ),
  InvalidTemplate: createError(
    'AS1203',
    "client account '{0}': {1}",
    'Every key of the template is valid, but the template as a whole breaks a rule or contradicts itself.',
    'Follow the rule in the message. `anvilstack template --help` shows a template.',
  ),
  TemplateWarning: {
    code: 'AS1208',
    category: MessageCategory.Warning,
    template: "client account '{0}': {1}",
    cause:
      'The template is valid, but a part of it may not have the intended effect.',
    remedy:
      'Check that the template does what is intended; no change is required.',
  },
  SecretSourceConflict: createError(
    'AS1204',
    "key '{0}': give either '{0}_file' or '{0}_env', not both",
    'The secret has two sources.',
    'Remove one of the two keys.',
  ),
  SecretUnavailable: createError(
    'AS1205',
    "the secret '{0}' cannot be read from {1}",
    'The file with the secret is missing, empty or not readable, or the environment variable is empty or not set.',
    'Create the file or set the variable before the node starts.',
  ),
  PeerSecretMissing: createError(
    'AS1206',
    "key 'listen.peers': '{0}' can be reached from other machines, so 'secrets.peer_secret_file' or 'secrets.peer_secret_env' is needed",
    'Calls between nodes are authenticated by a shared secret, and none is configured.',
    'Configure the same secret on every node of the deployment.',
  ),
  ServiceNameMissing: createError(
    'AS1207',
    "key '{0}': a plain service needs the key 'service'",
    'A backend server of kind `service` does not name the service it belongs to.',
    'Add `service = "NAME"`.',
  ),
  NodeUnreachable: createError(
    'AS2001',
    'no answer from {0}: {1}',
    'The node is down, the address is wrong, or the network is partitioned.',
    'Check `--node` or ANVILSTACK_NODE: it must be the address of the operators listener of any node of the deployment, such as http://127.0.0.1:8201.',
  ),
  TokenRefused: createError(
    'AS2002',
    "{0} refused the operator's token",
    'The token is missing, unknown to the node, or lacks the required right.',
    'Set ANVILSTACK_TOKEN or use --token-file. The settings of the node hold the SHA-256 and the rights of each token under `[[operator]]`.',
  ),
  RequestRefused: createError(
    'AS2003',
    '{0} refused the request: {1}',
    'The node understood the request but refused to execute it.',
    'See the reason in the message.',
  ),
  TemplateConflict: createError(
    'AS2004',
    "client account '{0}': {1}",
    'Another operator published or amended the template first. The order of the records in the log decides.',
    'Run `anvilstack template show ACCOUNT`, apply your change to it, and amend with `--base VERSION` of the version in force.',
  ),
  NotAcceptedYet: createError(
    'AS2005',
    "client account '{0}': not accepted yet: {1}",
    "The platform's log did not answer in time. The change may still take effect.",
    'Check with `anvilstack template show ACCOUNT` before you try again.',
  ),
  NotInForce: createError(
    'AS2006',
    "client account '{0}': version {1} is not in force on {2}",
    'A live node has not read the version from the log within the waiting time.',
    'Run `anvilstack fleet`. A node that cannot reach the log continues with the last version it read.',
  ),
  TokenMissing: createError(
    'AS2007',
    'no operator token: set ANVILSTACK_TOKEN or use --token-file',
    'Calls to a node need the token of an operator, and none was given.',
    'Put the token into the environment variable or into a file that only you can read.',
  ),
  UnexpectedNodeResponse: createError(
    'AS2008',
    'unexpected response from {0}: {1}',
    'The address belongs to another program or to another version of anvilstack.',
    'Check the address; compare `anvilstack --version` with the node.',
  ),
  NodeNotSpecified: createError(
    'AS2010',
    'no node specified: use --node URL or set ANVILSTACK_NODE',
    'The command calls a running node, and no address was given.',
    'Give the address of the operators listener of any node, such as http://127.0.0.1:8201. Separate several addresses by commas.',
  ),
  InvalidOptionValue: createError(
    'AS2011',
    "option '{0}': {1}",
    'An option has a value that the command does not accept.',
    'Run the command with --help.',
  ),
  ExpectationFailed: createError(
    'AS2009',
    'not as expected: {0}',
    'The state of the fleet differs from the expected end state in the file.',
    'Check `anvilstack progress` and `anvilstack timeline --client-account ACCOUNT`.',
  ),
  InvalidTrace: createError(
    'AS2012',
    'trace: {0}',
    'A line of the trace does not have the format that replay reads.',
    'Fix the line. docs/operators lists the fields of a trace.',
  ),
  OutOfBounds: createError(
    'AS2013',
    '{0} is {1}, expected {2}',
    'A result of the replay is outside the bounds given for the trace.',
    'Compare with an earlier build or with --policy round-robin, using the same seed, because results depend on it.',
  ),
  TaskFailed: createError(
    'AS3001',
    "task '{0}' failed permanently: {1}",
    'A task of the process failed more often than its restart limit allows.',
    'None needed: the process shuts down gracefully and the platform replaces it. The time line shows the earlier failures.',
  ),
  TaskRestarted: {
    code: 'AS3002',
    category: MessageCategory.Warning,
    template: "task '{0}' failed, restarting in {1} ms: {2}",
    cause: 'A task of the process ended with an error.',
    remedy:
      'None needed for a single restart. If restarts continue, see the error in the message.',
  },
  TaskStopTimeout: createError(
    'AS3005',
    "task '{0}' did not end within the stop timeout",
    'A task waits for something that does not happen, such as a caller that no longer reads its response.',
    'The process exits without waiting for the task; its open requests are aborted.',
  ),
  UnhandledError: createError(
    'AS3003',
    'unhandled error: {0}',
    'A bug in this program: an error that no task has handled.',
    'The process shuts down gracefully. Report the bug with the surrounding log lines.',
  ),
  CertificateReloadFailed: createError(
    'AS3006',
    "listener '{0}': cannot load the changed certificates: {1}",
    'A certificate or key file has changed, and the files cannot be read or the key does not match the certificate.',
    'Fix the files. The previous certificate and key stay in use until then.',
  ),
  StartFailed: createError(
    'AS3004',
    'cannot start: {0}',
    'A listener could not be opened: the port is in use, the address does not belong to this machine, or a certificate cannot be read.',
    'Fix the problem in the message and start the process again.',
  ),
} as const satisfies Record<string, MessageDefinition>;
