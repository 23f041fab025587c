// Package reply makes sure that what a server sends is an answer in the protocol, and that an answer which breaks off does not
// pass for whole.
package reply
