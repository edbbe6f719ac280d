/** Boundaries between server-sent events, whatever the chunks in which they arrive. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createEventBoundary,
  createEventSplitter,
} from '../../src/gateway/event_splitter';

const LINE_ENDS = ['\n', '\r\n', '\r'];

function buildStream(lineEnd: string): string {
  return [1, 2, 3]
    .map(id => `id: ${id}${lineEnd}data: piece ${id}${lineEnd}${lineEnd}`)
    .join('');
}

function splitText(text: string, size: number): Buffer[] {
  return Array.from({length: Math.ceil(text.length / size)}, (_, index) =>
    Buffer.from(text.slice(index * size, (index + 1) * size)),
  );
}

for (const lineEnd of LINE_ENDS) {
  const name = JSON.stringify(lineEnd);
  const text = buildStream(lineEnd);

  test(`the end of each event and no other place is a boundary, with ${name}`, () => {
    const eventLength = text.length / 3;
    for (let size = 1; size <= 12; size++) {
      for (let length = 1; length <= text.length; length++) {
        const boundary = createEventBoundary();
        for (const chunk of splitText(text.slice(0, length), size)) {
          boundary.push(chunk);
        }
        assert.equal(
          boundary.isBetweenEvents(),
          length % eventLength === 0,
          `${length} bytes in chunks of ${size}`,
        );
      }
    }
  });

  test(`whole events are split off, with ${name}`, () => {
    for (let size = 1; size <= 12; size++) {
      const splitter = createEventSplitter();
      const cut = text.slice(0, -4);
      const passedOn = splitText(cut, size).map(chunk => splitter.push(chunk));
      const whole = (text.length * 2) / 3;
      assert.equal(Buffer.concat(passedOn).toString(), text.slice(0, whole));
      assert.equal(splitter.getLastId(), '2');
      assert.equal(splitter.takeRemainder().toString(), cut.slice(whole));
    }
  });
}

test('line ends after the last event are not inside an event', () => {
  const boundary = createEventBoundary();
  boundary.push(Buffer.from('data: x\n\n'));
  boundary.push(Buffer.from('\n'));
  assert.equal(boundary.isBetweenEvents(), true);
  boundary.push(Buffer.from('d'));
  assert.equal(boundary.isBetweenEvents(), false);
});

test('only events that carry data end the count of bytes without data', () => {
  const boundary = createEventBoundary();
  boundary.push(Buffer.from('id: 1\ndata: x\n\n'));
  assert.equal(boundary.countBytesWithoutData(), 0);
  boundary.push(Buffer.from('\n\n:\n\nid: 2\n\n'));
  assert.equal(boundary.countBytesWithoutData(), 12);
  boundary.push(Buffer.from('data: y\n\nda'));
  assert.equal(boundary.countBytesWithoutData(), 2);
});

test('the id of the last complete event is known, whatever the fields around it', () => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from('data: x\nid: 7\n\ndata: no id\n\nid:8\ndata'));
  assert.equal(splitter.getLastId(), '7');
  splitter.push(Buffer.from(': y\n\n'));
  assert.equal(splitter.getLastId(), '8');
});

test('the id of an event that broke off is not taken for that of the next one', () => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: y'));
  splitter.dropPartial();
  splitter.push(Buffer.from('data: without an id\n\n'));
  assert.equal(splitter.getLastId(), '1');
});

test('an event that arrives in many chunks costs time in proportion to its length', () => {
  const measureMs = (chunks: number) => {
    const splitter = createEventSplitter();
    const chunk = Buffer.alloc(65_536, 'x');
    const startedAt = performance.now();
    for (let count = 0; count < chunks; count++) splitter.push(chunk);
    return performance.now() - startedAt;
  };
  measureMs(50);
  const shortMs = measureMs(50);
  // Four times as long; quadratic work would take sixteen times as long.
  assert.ok(measureMs(200) < shortMs * 10 + 20);
});

// Guards against work that grows with the square of an id's length, which held up all requests of a node for 10 s.
test('a long id is read in time that grows with its length, and kept whole', () => {
  const processorMs = (bytes: number): number => {
    const boundary = createEventBoundary();
    const id = 'x'.repeat(bytes);
    const before = process.cpuUsage();
    boundary.push(Buffer.from(`id: ${id}`));
    boundary.push(Buffer.from('\ndata: 1\n\n'));
    const {user, system} = process.cpuUsage(before);
    assert.equal(boundary.getLastId(), id);
    return (user + system) / 1_000;
  };
  processorMs(262_144);
  assert.ok(processorMs(262_144) < 1_000);
});
