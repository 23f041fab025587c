// Package crash shares which requests were running at an engine's crash.
package crash
