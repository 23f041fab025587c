// Package reply reads responses of servers. It rejects invalid ones and those that could be read in more than one way, detects ones
// that break off, and limits the memory of many.
package reply
