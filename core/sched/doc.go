// Package sched decides for one engine which adapters its slots hold and which
// requests run.
//
// A slot is a state machine: empty, loading, ready, unloading, doubtful. A
// request pins its slot before it is forwarded and until the engine is done with
// it. Each load gets a handle that was never used before, so that a late order
// can touch no handle in use. The package is pure: events and their time go in,
// actions come out.
package sched
