/** A bounded queue of messages between two tasks. */

/** Options of a mailbox. */
export interface MailboxOptions {
  /** Most messages that wait. */
  readonly capacity: number;
}

/** Messages for one task, in the order of sending. */
export interface Mailbox<Message> {
  /** Adds a message; returns false when the mailbox is full or closed. */
  send(message: Message): boolean;
  /** Resolves with the next message, or with undefined once closed and empty or when aborted. */
  receive(signal?: AbortSignal): Promise<Message | undefined>;
  /** Takes no more messages; those that wait can still be received. */
  close(): void;
  getLength(): number;
  /** Returns how many messages were refused because the mailbox was full. */
  getRefusedCount(): number;
}

/** Creates an empty mailbox. */
export function createMailbox<Message>(
  options: MailboxOptions,
): Mailbox<Message> {
  const queue: Message[] = [];
  const receivers: Array<(message: Message | undefined) => void> = [];
  let isClosed = false;
  let refused = 0;
  return {
    send,
    receive,
    close,
    getLength: () => queue.length,
    getRefusedCount: () => refused,
  };

  function send(message: Message): boolean {
    if (isClosed) return false;
    const receiver = receivers.shift();
    if (receiver !== undefined) {
      receiver(message);
      return true;
    }
    if (queue.length >= options.capacity) {
      refused++;
      return false;
    }
    queue.push(message);
    return true;
  }

  function receive(signal?: AbortSignal): Promise<Message | undefined> {
    if (signal?.aborted === true) return Promise.resolve(undefined);
    if (queue.length > 0) return Promise.resolve(queue.shift());
    if (isClosed) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const settle = (message: Message | undefined) => {
        signal?.removeEventListener('abort', onAbort);
        resolve(message);
      };
      const onAbort = () => {
        const index = receivers.indexOf(settle);
        if (index >= 0) receivers.splice(index, 1);
        settle(undefined);
      };
      signal?.addEventListener('abort', onAbort);
      receivers.push(settle);
    });
  }

  function close(): void {
    isClosed = true;
    for (const receiver of receivers.splice(0)) receiver(undefined);
  }
}
