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

// Eras is the highest era that a node has seen. The zero value has seen no answer.
type Eras struct {
	present int64
	// answered is true once there was any answer, with or without an era.
	answered bool
}

// Present returns the highest era seen, zero for none.
func (er Eras) Present() int64 { return er.present }

// WithAnswer returns the eras after an answer that stated an era, zero for none, and the verdict on
// the answer.
func (er Eras) WithAnswer(era int64) (Eras, EraVerdict) {
	if era < er.present {
		return er, EraInvalid
	}
	risen := er.answered && era > er.present
	er.present, er.answered = era, true
	if risen {
		return er, EraRisen
	}
	return er, EraPresent
}
