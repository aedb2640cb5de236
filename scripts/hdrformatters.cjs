/** The formatters of the histogram library without `Intl.NumberFormat`, which takes longer to load than any other part of the daemon. */
'use strict';

const pad = size => text => String(text).padStart(size);

function keepSignificantDigits(digits) {
	return value => {
		const extraDigits = Math.floor(Math.log10(value) + 1) - digits;
		return extraDigits > 0 ? value - (value % (10 ** extraDigits)) : value;
	};
}

module.exports = {
	integerFormatter: size => pad(size),
	floatFormatter: (size, fractionDigits) => value => pad(size)(value.toFixed(fractionDigits)),
	keepSignificantDigits,
};
