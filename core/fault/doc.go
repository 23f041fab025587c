// Package fault defines the errors that are returned to callers and operators.
//
// A request has one of three outcomes: a backend server answered it, it did not
// run, or it is unknown whether it ran. Each error has a kind, a message and a
// remedy, and says which of the last two outcomes applies.
package fault
