/** Base class of the commands that call the operators listener of a running node. */
import {readFileSync} from 'node:fs';
import {type BaseContext, Command, Option} from 'clipanion';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import {ExitCode} from './exit_code';
import {createOperatorClient, type OperatorClient} from './operator_client';
import {printMessages} from './output';

/** A command that calls one or more nodes. */
export abstract class OperatorCommand extends Command {
  node = Option.String('--node', {
    env: 'ANVILSTACK_NODE',
    description:
      "Address of a node's operators listener; separate several with commas",
  });

  tokenFile = Option.String('--token-file', {
    description:
      "File with the operator's token; the default is the value of ANVILSTACK_TOKEN",
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON',
  });

  async execute(): Promise<number> {
    const clients = this.createClients();
    if (clients.err) {
      printMessages(this.context.stderr, [clients.val]);
      return ExitCode.Usage;
    }
    return this.run(clients.val);
  }

  /** Runs the command with one client per given address, at least one; returns the exit code. */
  protected abstract run(clients: readonly OperatorClient[]): Promise<number>;

  /** Prints the messages to standard error; returns `ExitCode.Failed`. */
  protected fail(...faults: readonly Message[]): number {
    printMessages(this.context.stderr, faults);
    return ExitCode.Failed;
  }

  /**
   * Runs `call` on one node after another until one is reachable; returns the result of the last
   * call.
   */
  protected async callFirstReachable<T>(
    clients: readonly OperatorClient[],
    call: (client: OperatorClient) => Promise<Result<T, Message>>,
  ): Promise<Result<T, Message>> {
    let result: Result<T, Message> = Err(
      createMessage(messages.NodeNotSpecified),
    );
    for (const client of clients) {
      result = await call(client);
      if (result.ok || result.val.definition !== messages.NodeUnreachable)
        break;
    }
    return result;
  }

  /** Creates a client of another node, with the same token. */
  protected createClient(address: string): OperatorClient {
    const token = readToken(this);
    return createOperatorClient({address, token: token.ok ? token.val : ''});
  }

  private createClients(): Result<readonly OperatorClient[], Message> {
    const addresses = (this.node ?? '')
      .split(',')
      .map(item => item.trim().replace(/\/$/, ''))
      .filter(item => item !== '');
    if (addresses.length === 0)
      return Err(createMessage(messages.NodeNotSpecified));
    const invalid = addresses.find(item => !isHttpAddress(item));
    if (invalid !== undefined) {
      return Err(
        createMessage(messages.InvalidOptionValue, [
          '--node',
          `'${invalid}' is not an address such as http://127.0.0.1:8201`,
        ]),
      );
    }
    return readToken(this).map(token =>
      addresses.map(address => createOperatorClient({address, token})),
    );
  }
}

/** Reads the operator's token from the file or the environment of a command. */
export function readToken({
  tokenFile,
  context,
}: {
  readonly tokenFile: string | undefined;
  readonly context: Pick<BaseContext, 'env'>;
}): Result<string, Message> {
  if (tokenFile !== undefined) return readTokenFile(tokenFile);
  const token = context.env['ANVILSTACK_TOKEN'] ?? '';
  if (token === '') return Err(createMessage(messages.TokenMissing));
  return Ok(token);
}

function readTokenFile(file: string): Result<string, Message> {
  try {
    return Ok(readFileSync(file, 'utf8').trim());
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return Err(createMessage(messages.FileUnreadable, [file, reason]));
  }
}

function isHttpAddress(text: string): boolean {
  return URL.canParse(text) && /^https?:/.test(text);
}
