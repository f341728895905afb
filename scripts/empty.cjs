// Replaces cbor-extract in bundles; cbor-x works without that optional add-on.
module.exports = null;
