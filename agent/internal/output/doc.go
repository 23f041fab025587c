// Package output holds the frames of one attempt's answer until the entry node
// has acknowledged them, so that they can be sent again over a new connection.
package output
