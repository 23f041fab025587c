// Package logs sets up structured logs, one line of key=value pairs an event.
package logs
