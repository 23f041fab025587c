// Package admin serves the operators: settings, changes, history and status, and
// the node's own health and metrics. Other entry nodes read its settings here.
package admin
