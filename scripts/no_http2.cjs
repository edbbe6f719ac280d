/** Stands in for undici's HTTP/2, which the platform does not speak; loading it takes a tenth of a start. */
module.exports = function connectHttp2() {
  throw new Error('HTTP/2 is not part of this build');
};
