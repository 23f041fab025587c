// Package direct runs an entry node that sends requests to the backend servers itself.
// Routes, adapter versions and backend servers come from the platform's log; agents
// grant requests for model engines. What is spoken with callers, backend servers and
// the log is behind the interfaces Protocol and Source.
package direct
