/**
 * Exports only the parts of undici that the gateway uses: loading all of undici doubles the
 * start-up time.
 */
const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');

Dispatcher.prototype.request = require('undici/lib/api/api-request');

module.exports = {
  Client,
  buildConnector: require('undici/lib/core/connect'),
};
