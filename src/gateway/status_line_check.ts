/**
 * Checks the status lines of answers before the HTTP library parses them: it
 * accepts other versions of HTTP and statuses that do not exist, and takes a
 * status below 200, `000` among them, for an interim answer.
 */

/** Checks the bytes of one connection. */
export interface StatusLineCheck {
  /** Expects an answer, after a request was sent. */
  expectAnswer(): void;
  /**
   * Returns false when the bytes received hold a status line that is none, or bytes after the head
   * of an answer that has no body; other bytes after the final head are not looked at.
   */
  isValid(chunk: Buffer): boolean;
}

/** What the check reads next. */
const State = {
  Line: 'line',
  Head: 'head',
  /** The rest of the bytes that came with the head of an answer without a body. */
  Bodiless: 'bodiless',
  Done: 'done',
} as const;
type State = (typeof State)[keyof typeof State];

/** Statuses are 100 to 599; nothing asks to go on with a body (100) or for a change of protocol (101). */
const STATUS_LINE = /^HTTP\/1\.[01] (?!10[01])[1-5]\d\d(?: |\r|\n)/;
const VERSIONS = ['HTTP/1.1 ', 'HTTP/1.0 '];
/** Answers with these statuses have no body; bytes that come with their heads are one that no header states. */
const BODILESS_LINE = /^HTTP\/1\.[01] (?:204|304)/;
const INTERIM_LINE = /^HTTP\/1\.[01] 1/;
/** Length of `HTTP/1.1 200` and the byte after it. */
const LINE_BYTES = 13;
const CR = 0x0d;
const LF = 0x0a;

/** Creates a check that expects no answer yet. */
export function createStatusLineCheck(): StatusLineCheck {
  let state: State = State.Done;
  let line = '';
  /** Line ends in a row, carriage returns not counted; two of them end a head. */
  let lineEnds = 0;
  return {
    expectAnswer: () => {
      state = State.Line;
      line = '';
    },
    isValid,
  };

  function isValid(chunk: Buffer): boolean {
    for (const byte of chunk) {
      if (state === State.Done) return true;
      if (state === State.Head) readHeadByte(byte);
      else if (state === State.Bodiless) {
        if (byte !== CR && byte !== LF) return false;
      } else if (!readLineByte(byte)) return false;
    }
    // The answer has been passed on by the time at which further bytes come.
    if (state === State.Bodiless) state = State.Done;
    return true;
  }

  function readLineByte(byte: number): boolean {
    // Empty lines before a status line are ignored, as the library does.
    if (line === '' && (byte === CR || byte === LF)) return true;
    line += String.fromCharCode(byte);
    if (line.length < LINE_BYTES) return byte !== LF && hasVersion();
    if (!STATUS_LINE.test(line)) return false;
    state = State.Head;
    lineEnds = byte === LF ? 1 : 0;
    return true;
  }

  /** Checked from the first byte on, since the library ends the connection there at a part of another line. */
  function hasVersion(): boolean {
    return VERSIONS.some(
      version => line.startsWith(version) || version.startsWith(line),
    );
  }

  function readHeadByte(byte: number): void {
    if (byte === CR) return;
    lineEnds = byte === LF ? lineEnds + 1 : 0;
    if (lineEnds < 2) return;
    state = getNextState(line);
    line = '';
  }
}

/** Returns what follows the head with this status line. */
function getNextState(line: string): State {
  if (INTERIM_LINE.test(line)) return State.Line;
  return BODILESS_LINE.test(line) ? State.Bodiless : State.Done;
}
