/** Matches backend servers against a selector. */
import type {BackendServer} from '../backends';
import type {ServerSelector} from '../state';

/** Returns whether every list that the selector gives contains the server's value. */
export function isSelected(
  server: BackendServer,
  selector: ServerSelector,
): boolean {
  return (
    isListed(selector.buildings, server.building) &&
    isListed(selector.failure_domains, server.failureDomain) &&
    isListed(selector.ids, server.id)
  );
}

function isListed(list: readonly string[] | undefined, value: string): boolean {
  return list === undefined || list.includes(value);
}
