// Package record defines the records that are stored in the platform's log and
// encodes them as CBOR. The types are generated from schema/records.json.
package record
