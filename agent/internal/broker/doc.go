// Package broker is the agent's one owner of its engine's slots, queue and
// attempts. It feeds events to the decisions of packages sched and runs and
// carries out the actions they return, each in a goroutine that reports back.
package broker
