/** Replaces the WebAssembly histograms of hdr-histogram-js, which are not used. */
module.exports = {WasmHistogram: class {}};
