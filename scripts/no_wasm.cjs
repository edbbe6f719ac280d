/** Stands in for the WebAssembly histograms, which are not used. */
module.exports = {WasmHistogram: class {}};
