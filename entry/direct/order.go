package direct

import "strconv"

// eventOrder tells whether the events of a stream follow one another, also where they come from several servers. An example:
// after 1, 2 from one server, the next one must go on with 3; after 10, 20, with any number above 20. Streams with IDs that
// are no numbers are not checked.
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

// isBefore reports whether an event with an ID comes after all events so far.
func (eo eventOrder) isBefore(id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	return err == nil && number > eo.last
}

// withNext returns the order after the next event, and whether that event follows the last one. Numbers rise. The first event
// of an answer that goes on has a number too if the last one had, and the next one if each step within answers was one.
func (eo eventOrder) withNext(id string, firstOfAnswer bool) (eventOrder, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil && firstOfAnswer:
		return eo, !eo.numbered
	case err != nil && id != "":
		return eventOrder{}, true
	case err != nil:
		return eo, true
	case !eo.numbered:
		// Streams that begin with the first number count by one, unless a step shows otherwise.
		eo.steps = number <= 1
	case number <= eo.last, firstOfAnswer && eo.steps && !eo.gaps && number > eo.last+1:
		return eo, false
	case number == eo.last+1:
		eo.steps = true
	case !firstOfAnswer:
		eo.gaps = true
	}
	return eo.withLast(id), true
}
