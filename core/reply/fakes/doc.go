// Package fakes holds addresses for tests, and a server that sends what is no answer or ends its connections in the middle of one.
package fakes
