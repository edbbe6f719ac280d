/** Binds a server to an address. */
import type {ListenOptions, Server} from 'node:net';

/** Resolves once the server listens; rejects when the address cannot be bound. */
export function listen(server: Server, options: ListenOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
