// Package fault defines the errors that are returned to callers and operators.
//
// A request has one of three outcomes: a backend server answered it, it did not
// run, or it is unknown whether it ran. Each error has a kind, a message, a
// remedy, and one of the last two outcomes, NotRun or Unknown.
package fault
