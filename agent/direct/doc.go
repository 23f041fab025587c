// Package direct runs the agent of an engine to which entry nodes send their requests themselves.
//
// The agent is the only sender of load and unload orders to its engine. Entry nodes ask it for a
// grant before they send a request; a granted request pins its adapter, which is then not unloaded.
// The agent also informs entry nodes of the engine's load and adapters.
package direct
