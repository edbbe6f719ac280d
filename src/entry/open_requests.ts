/** Counts the requests in progress, so that a draining node can wait for them. */

/** The requests in progress on one node. */
export interface OpenRequests {
  /**
   * Adds a request and returns the function that removes it; further calls of that have no effect.
   */
  add(): () => void;
  getCount(): number;
  isDraining(): boolean;
  /** Marks the node as draining; resolves when no request is in progress. */
  drain(): Promise<void>;
}

/** Creates an empty count. */
export function createOpenRequests(): OpenRequests {
  const waiters: Array<() => void> = [];
  let count = 0;
  let isDraining = false;
  return {
    add,
    getCount: () => count,
    isDraining: () => isDraining,
    drain,
  };

  function add(): () => void {
    let isOpen = true;
    count++;
    return () => {
      if (!isOpen) return;
      isOpen = false;
      count--;
      if (count === 0) waiters.splice(0).forEach(wake => wake());
    };
  }

  function drain(): Promise<void> {
    isDraining = true;
    if (count === 0) return Promise.resolve();
    return new Promise(resolve => waiters.push(resolve));
  }
}
