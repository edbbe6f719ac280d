/** `anvilstack explain`. */
import {Command, Option} from 'clipanion';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import {EXPLAIN_PATH, formatExplanation} from '../explain';
import {ExitCode} from './exit_code';
import {createOperatorClient} from './operator_client';
import {readToken} from './operator_command';
import {printJson, printMessages} from './output';
import {explanationSchema} from './response_schemas';

/** Shows where a gateway or a node would send a request now, and why. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description:
      'Shows where a gateway or a node would send a request now, and why.',
    details:
      'The gateway or node answers by what it knows, without sending the request and without any other effect. The account is given by its name, never by a key. A node, such as one of the demo, is asked at its operators listener with the token of an operator; its model requests name the model in the path.',
    examples: [
      [
        'Explain a prompt of 1,200 tokens',
        'anvilstack explain --node 127.0.0.1:7101 --host desk.example --path /ask/ --tokens 1200,300 --parts intro:1000,own:200',
      ],
      [
        'Explain a model request to a node of the demo',
        'anvilstack explain --node 127.0.0.1:8201 --host demo --path /v1/chat/completions?model=summary --account studio --tokens 5,8',
      ],
    ],
  });

  node = Option.String('--node', {
    required: true,
    description:
      'Control address of the gateway, or address of the operators listener of a node: HOST:PORT or a URL',
  });

  tokenFile = Option.String('--token-file', {
    description:
      "File with the operator's token for a node; the default is the value of ANVILSTACK_TOKEN",
  });

  host = Option.String('--host', {
    required: true,
    description: 'Host of the request',
  });

  requestPath = Option.String('--path', {
    required: true,
    description: 'Path of the request',
  });

  method = Option.String('--method', 'POST', {
    description: 'Method of the request',
  });

  account = Option.String('--account', {
    description: 'Name of the client account',
  });

  tokens = Option.String('--tokens', {
    description: 'Tokens of the prompt and of the longest answer',
  });

  parts = Option.String('--parts', {
    description: 'Parts of the prompt with their tokens, ID:TOKENS,...',
  });

  deadlineMs = Option.String('--deadline-ms', {
    description: 'How long the caller waits, in milliseconds',
  });

  bodyBytes = Option.String('--body-bytes', {
    description: "Size of the request's body",
  });

  json = Option.Boolean('--json', false, {description: 'Print JSON'});

  async execute(): Promise<number> {
    const body = this.buildBody();
    if (body.err) {
      printMessages(this.context.stderr, [body.val]);
      return ExitCode.Usage;
    }
    const token = readToken(this);
    if (token.err && token.val.definition !== messages.TokenMissing) {
      printMessages(this.context.stderr, [token.val]);
      return ExitCode.Usage;
    }
    const client = createOperatorClient({
      address: createAddress(this.node),
      ...(token.ok ? {token: token.val} : {}),
    });
    const answer = await client.load(EXPLAIN_PATH, body.val, explanationSchema);
    if (answer.err) {
      printMessages(this.context.stderr, [answer.val]);
      return ExitCode.Failed;
    }
    if (this.json) printJson(this.context.stdout, answer.val);
    else this.context.stdout.write(formatExplanation(answer.val));
    return ExitCode.Done;
  }

  private buildBody(): Result<object, Message> {
    if (!URL.canParse(createAddress(this.node))) {
      return refuseOption('--node', 'must be HOST:PORT');
    }
    const tokens = this.tokens?.split(',').map(parseCount);
    const [prompt, output] = tokens ?? [];
    if (
      tokens &&
      (tokens.length !== 2 || prompt === undefined || output === undefined)
    ) {
      return refuseOption('--tokens', 'must be PROMPT,OUTPUT');
    }
    const parts = this.parts?.split(',').map(parsePart);
    if (parts?.includes(undefined)) {
      return refuseOption('--parts', 'must be ID:TOKENS,...');
    }
    const deadlineMs = parseCount(this.deadlineMs);
    if (this.deadlineMs !== undefined && deadlineMs === undefined) {
      return refuseOption('--deadline-ms', 'must be a number of milliseconds');
    }
    const bodyBytes = parseCount(this.bodyBytes);
    if (this.bodyBytes !== undefined && bodyBytes === undefined) {
      return refuseOption('--body-bytes', 'must be a number of bytes');
    }
    const {host, requestPath: path, method, account} = this;
    return Ok({
      host,
      path,
      method,
      account,
      tokens: tokens && {prompt, output},
      parts,
      deadlineMs,
      bodyBytes,
    });
  }
}

function createAddress(node: string): string {
  return /^https?:\/\//.test(node) ? node.replace(/\/$/, '') : `http://${node}`;
}

function parseCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined;
}

function parsePart(text: string): {id: string; tokens: number} | undefined {
  const at = text.lastIndexOf(':');
  const tokens = parseCount(text.slice(at + 1));
  if (at < 1 || tokens === undefined) return undefined;
  return {id: text.slice(0, at), tokens};
}

function refuseOption(option: string, reason: string): Result<never, Message> {
  return Err(createMessage(messages.InvalidOptionValue, [option, reason]));
}
