// Package record holds the records kept in the platform's log and their
// encoding as CBOR. The types are generated from schema/records.json.
package record
