// Package wire defines the frames that entry nodes and agents exchange, each with one
// message, and encodes them as CBOR. The types are generated from schema/messages.json.
package wire
