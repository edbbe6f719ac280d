/** Reads a streamed chat completion, as a caller does. */
import {createParser} from 'eventsource-parser';

/** What was received of a stream. */
export interface ReceivedStream {
  readonly text: string;
  /** Number of tokens received: the value for `Last-Event-ID`. */
  readonly lastEventId: number;
  /** Token to resume the stream at another node; empty when the response has none. */
  readonly resumeToken: string;
  /** True when the final `[DONE]` event was received. */
  readonly isComplete: boolean;
}

/** Options of `readStream`. */
export interface ReadStreamOptions {
  /** Called with the number of tokens received so far. */
  readonly onTokens?: (count: number) => void;
}

/** Reads a response until it ends or the connection breaks. */
export async function readStream(
  response: Response,
  options: ReadStreamOptions = {},
): Promise<ReceivedStream> {
  const resumeToken = response.headers.get('anvilstack-resume') ?? '';
  const decoder = new TextDecoder();
  let text = '';
  let lastEventId = 0;
  let isComplete = false;
  const parser = createParser({
    onEvent: ({id, data}) => {
      if (data === '[DONE]') {
        isComplete = true;
        return;
      }
      if (id === undefined) return;
      text += getContent(data);
      lastEventId = Number(id);
      options.onTokens?.(lastEventId);
    },
  });
  try {
    for await (const chunk of response.body ?? []) {
      parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
    }
  } catch {
    // The connection broke: return what was received so far.
  }
  return {text, lastEventId, resumeToken, isComplete};
}

interface ChunkData {
  readonly choices: ReadonlyArray<{
    readonly delta: {readonly content?: string};
  }>;
}

function getContent(data: string): string {
  const {choices} = JSON.parse(data) as ChunkData;
  return choices[0]?.delta.content ?? '';
}
