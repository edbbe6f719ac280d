import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'node:test';
import {listFreePorts} from './program';

test('a port that is in use for UDP only is not listed as free', async () => {
  const [port] = await listFreePorts(1);
  const usedPorts = [port + 1, port + 2];
  const sockets = usedPorts.map(() => createSocket('udp4'));
  for (const [index, socket] of sockets.entries()) {
    socket.bind(usedPorts[index], '127.0.0.1');
    // A port that is in use already serves as well.
    await once(socket, 'listening').catch(() => undefined);
  }
  const ports = await listFreePorts(4);
  for (const socket of sockets) socket.close();
  assert.deepEqual(
    ports.filter(item => usedPorts.includes(item)),
    [],
  );
});
