// Package client sends requests to the agent's backend server and, if that is an engine, orders to
// load and unload adapters.
package client
