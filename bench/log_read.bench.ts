/**
 * Bytes and processor time of one read of the log over a socket, with one small record per read.
 */
import {createHttpLogService} from '../src/control_services';
import {createSystemClock, openListener} from '../src/runtime';
import {createLogApp, createLogModel} from '../src/standins';
import {openByteRelay} from '../test/support/byte_relay';

const READS = 2_000;
const RECORD_BYTES = [100, 700, 2_400];

const clock = createSystemClock();
const model = createLogModel({clock, appendsPerS: 1_000_000});
const listener = await openListener({app: createLogApp(model)});
const relay = await openByteRelay(Number(new URL(listener.address).port));
const log = createHttpLogService({address: relay.address});
console.log(
  '| bytes in the record | bytes on the connection | processor us, both ends and the relay |',
);
console.log('| --- | --- | --- |');
for (const size of RECORD_BYTES) {
  const stream = `s${size}`;
  for (let index = 0; index < READS; index++) {
    model.append(stream, 'x'.repeat(size));
  }
  await log.read(stream, 0, {maxRecords: 1});
  const bytes = relay.getBytes();
  const usage = process.cpuUsage();
  for (let offset = 0; offset < READS; offset++) {
    await log.read(stream, offset, {maxRecords: 1, waitMs: 1_000});
  }
  const used = process.cpuUsage(usage);
  console.log(
    `| ${size} | ${((relay.getBytes() - bytes) / READS).toFixed(0)} | ${((used.user + used.system) / READS).toFixed(0)} |`,
  );
}
process.exit(0);
