// Package admin serves the HTTP API for operators: settings, changes, history and status, and the
// node's own health and metrics. Other entry nodes read this node's settings and status here too.
package admin
