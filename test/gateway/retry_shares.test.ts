/** The sum of all nodes' shares of the retry budget. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRetryShares} from '../../src/gateway/retry_shares';
import type {GatewayBounds} from '../../src/gateway/settings';

const RETRY_SLACK = 104;
const NODES = 100;

test('nodes that start together and learn of each other only later spend no more retries than the fleet has', () => {
  let knownNodes = 1;
  const nodes = Array.from({length: NODES}, () =>
    createRetryShares({
      bounds: {retryRatio: 0.2, retrySlack: RETRY_SLACK} as GatewayBounds,
      countNodes: () => knownNodes,
    }),
  );
  for (const getBudget of nodes) getBudget('app');
  knownNodes = NODES;
  const retries = nodes
    .map(getBudget => {
      let taken = 0;
      while (getBudget('app').tryTake()) taken++;
      return taken;
    })
    .reduce((sum, taken) => sum + taken, 0);
  assert.ok(retries <= RETRY_SLACK, `${retries} retries`);
  assert.ok(retries > 0);
});
