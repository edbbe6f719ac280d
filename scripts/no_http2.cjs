/**
 * Replaces undici's HTTP/2 client: the platform does not use HTTP/2, and loading the client
 * takes a tenth of the start-up time.
 */
module.exports = function connectHttp2() {
  throw new Error('HTTP/2 is not part of this build');
};
