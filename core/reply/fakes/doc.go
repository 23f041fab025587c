// Package fakes provides a server for tests that sends invalid, broken and endless responses, and addresses for tests.
package fakes
