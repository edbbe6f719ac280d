/** Clients for engine commands: one for each engine, created on first use. */
import type {EngineClient} from '../backends';

/** Clients by engine. */
export interface EngineClients {
  /** Returns the client of an engine, or undefined when the engine is unknown. */
  tryGet(engine: string): EngineClient | undefined;
  /** Closes an engine's connections; the next use opens new ones. */
  close(engine: string): void;
  closeAll(): void;
}

/** Creates an empty set of clients. */
export function createEngineClients(
  tryCreate: (engine: string) => EngineClient | undefined,
): EngineClients {
  const clients = new Map<string, EngineClient>();
  return {tryGet, close, closeAll};

  function tryGet(engine: string): EngineClient | undefined {
    const known = clients.get(engine);
    if (known !== undefined) return known;
    const client = tryCreate(engine);
    if (client !== undefined) clients.set(engine, client);
    return client;
  }

  function close(engine: string): void {
    clients.get(engine)?.close();
    clients.delete(engine);
  }

  function closeAll(): void {
    for (const client of clients.values()) client.close();
    clients.clear();
  }
}
