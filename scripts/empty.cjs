// Stands in for cbor-extract, whose absence cbor-x accepts.
module.exports = null;
