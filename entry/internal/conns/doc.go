// Package conns follows the connections of an HTTP server, so that a planned stop ends each of them while no request is
// read or answered on it. http.Server.Shutdown drops the requests that it reads, and closes a connection within the head
// of its next request.
package conns
