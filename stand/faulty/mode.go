package faulty

import "slices"

// Mode is the way in which answers are sent.
type Mode string

const (
	// Sound sends answers as they are. The empty mode does the same.
	Sound Mode = "sound"
	// EndlessHead sends a header line that does not end.
	EndlessHead Mode = "endless_head"
	// EndlessBody sends the head and then a body that does not end.
	EndlessBody Mode = "endless_body"
	// Unframed sends whole answers without a length, which end with their connection.
	Unframed Mode = "unframed"
	// Cut closes the connection in the middle of an answer: inside an event of a stream, or before the
	// announced length.
	Cut Mode = "cut"
	// Reset resets the connection in the middle of an answer.
	Reset Mode = "reset"
	// NoAnswer closes the connection without an answer.
	NoAnswer Mode = "no_answer"
	// Garbage sends bytes that are no HTTP.
	Garbage Mode = "garbage"
)

// Modes returns all modes.
func Modes() []Mode {
	return []Mode{Sound, EndlessHead, EndlessBody, Unframed, Cut, Reset, NoAnswer, Garbage}
}

// Valid reports whether the mode is known.
func (mo Mode) Valid() bool {
	return slices.Contains(Modes(), mo)
}

// ModeNames returns the names of all modes.
func ModeNames() []string {
	names := make([]string, 0, len(Modes()))
	for _, mo := range Modes() {
		names = append(names, string(mo))
	}
	return names
}
