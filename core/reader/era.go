package reader

// EraVerdict says how an answer of the log relates to what is known of its era.
type EraVerdict int

// Verdicts on the era of an answer.
const (
	// EraPresent is for an answer of the present era.
	EraPresent EraVerdict = iota
	// EraRisen is for the first answer of a later era: offsets read before mean nothing any more.
	EraRisen
	// EraInvalid is for an answer of an earlier era, or of none although the log states one. Its
	// offsets cannot be placed.
	EraInvalid
)

// Eras is the highest era that a node has seen; the zero value has seen none.
type Eras struct {
	present int64
}

// Present returns the highest era seen, zero for none.
func (er Eras) Present() int64 { return er.present }

// WithAnswer returns the eras after an answer that stated an era, zero for none, and the verdict on
// the answer.
func (er Eras) WithAnswer(era int64) (Eras, EraVerdict) {
	switch {
	case era == er.present:
		return er, EraPresent
	case era < er.present:
		return er, EraInvalid
	case er.present == 0:
		return Eras{present: era}, EraPresent
	}
	return Eras{present: era}, EraRisen
}
