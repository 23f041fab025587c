// Package broker runs the event loop of an agent that forwards requests to its backend server.
//
// One goroutine owns the slots, the queue and the attempts. It passes events to the packages sched
// and runs, which decide, and carries out the resulting actions. Requests to the backend server run
// in separate goroutines, which post their results as events.
package broker
