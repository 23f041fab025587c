package direct

import "strconv"

// eventOrder tells whether the events of a stream follow one another, also where they come from several servers. Events
// whose IDs are no numbers are not checked.
type eventOrder struct {
	// last is the number of the last event, if numbered is true.
	last     uint64
	numbered bool
	// steps is true once two events of one answer were one apart, gaps once two were further apart.
	steps, gaps bool
}

// withLast returns the order of a stream of which the caller has the event with an ID already, or none.
func (eo eventOrder) withLast(id string) eventOrder {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return eo
	}
	eo.last, eo.numbered = number, true
	return eo
}

// withNext returns the order after the next event, and whether that event follows the last one. Numbers rise; where those of
// each answer so far rose one by one, the first event of a later answer has the next number. A first event without a
// number follows only where none had one.
func (eo eventOrder) withNext(id string, firstOfAnswer bool) (eventOrder, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return eo, !firstOfAnswer || !eo.numbered
	}
	counted := eo.steps && !eo.gaps
	if eo.numbered && (number <= eo.last || firstOfAnswer && counted && number > eo.last+1) {
		return eo, false
	}
	if eo.numbered && !firstOfAnswer {
		eo.steps = eo.steps || number == eo.last+1
		eo.gaps = eo.gaps || number > eo.last+1
	}
	eo.last, eo.numbered = number, true
	return eo, true
}
