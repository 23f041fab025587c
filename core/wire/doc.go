// Package wire holds the messages between entry nodes and agents and their
// encoding as CBOR. The types are generated from schema/messages.json.
package wire
