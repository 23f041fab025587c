// Package fakes holds a server for tests, which sends what is no answer, or ends its connections in the middle of one.
package fakes
