// Package sched decides for one backend server which requests run and, if it is an engine, which
// adapters are in its slots.
//
// A slot is a state machine: empty, loading, ready, unloading or unconfirmed. A request pins
// its slot from the moment that it is forwarded until the engine is done with it, and a pinned
// slot is not unloaded. Each load gets a handle that was never used before, so an order that
// arrives late cannot affect a handle in use. The package does no I/O and reads no clock: its
// methods take events with their time and return the actions that the agent has to carry out.
package sched
