// Package guards shares the verdicts on requests that were running at an engine's crash.
package guards
