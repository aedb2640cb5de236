/** The kind of histogram that the metrics use. The index of the library loads WebAssembly and its encodings besides. */
'use strict';

const {default: Int32Histogram} = require('hdr-histogram-js/dist/Int32Histogram.js');

module.exports = {
	build: ({lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits}) => new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits),
};
