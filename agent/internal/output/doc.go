// Package output sends the answer of an attempt to its entry node as frames. It keeps the frames
// until the entry node has acknowledged them, so that they can be sent again over a new connection.
package output
