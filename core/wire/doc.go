// Package wire defines the messages that entry nodes and agents exchange and
// encodes them as CBOR. The types are generated from schema/messages.json.
package wire
