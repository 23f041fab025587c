package reader

// EpochVerdict says how an answer of the log relates to what is known of its epoch.
type EpochVerdict int

// Verdicts on the epoch of an answer.
const (
	// EpochPresent is for an answer of the present epoch.
	EpochPresent EpochVerdict = iota
	// EpochRisen is for the first answer of a later epoch: offsets read before mean nothing any more.
	EpochRisen
	// EpochInvalid is for an answer of an earlier epoch, or of none although the log states one. Its
	// offsets cannot be placed.
	EpochInvalid
)

// Epochs is the highest epoch that a node has seen. The zero value has seen no answer.
type Epochs struct {
	present int64
	// answered is true once there was any answer, with or without an epoch.
	answered bool
}

// Present returns the highest epoch seen, zero for none.
func (ep Epochs) Present() int64 { return ep.present }

// WithAnswer returns the epochs after an answer that stated an epoch, zero for none, and the verdict on
// the answer.
func (ep Epochs) WithAnswer(epoch int64) (Epochs, EpochVerdict) {
	if epoch < ep.present {
		return ep, EpochInvalid
	}
	risen := ep.answered && epoch > ep.present
	ep.present, ep.answered = epoch, true
	if risen {
		return ep, EpochRisen
	}
	return ep, EpochPresent
}
