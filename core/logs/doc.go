// Package logs sets up structured logging. Each event is one line of key=value pairs.
package logs
