// Package reader decides which entry nodes read the platform's log themselves and when.
//
// Every read is charged for, so one entry node of each availability zone reads the log often and
// forwards the records to the others. The others read it only when nothing was forwarded for a
// while, so a node that reads for others may fail at any time. The package does no I/O and reads
// no clock.
package reader
