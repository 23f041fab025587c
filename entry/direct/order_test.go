package direct

import "testing"

// TestEventOrderRejectsWhatDoesNotFollow checks single streams, given as the IDs of each answer's events.
func TestEventOrderRejectsWhatDoesNotFollow(t *testing.T) {
	for name, tc := range map[string]struct {
		last    string
		answers [][]string
		follows bool
	}{
		"one answer":                      {answers: [][]string{{"1", "2", "3"}}, follows: true},
		"the next answer goes on":         {answers: [][]string{{"1", "2"}, {"3", "4"}}, follows: true},
		"one is left out after the first": {answers: [][]string{{"1"}, {"3"}}},
		"one event, then more apart":      {answers: [][]string{{"10"}, {"30"}}, follows: true},
		"from the start":                  {answers: [][]string{{"1", "2"}, {"1"}}},
		"the last one again":              {answers: [][]string{{"1", "2"}, {"2"}}},
		"one is left out":                 {answers: [][]string{{"1", "2"}, {"4"}}},
		"back within an answer":           {answers: [][]string{{"1", "2", "1"}}},
		"twice within an answer":          {answers: [][]string{{"1", "1"}}},
		"numbers that rise by more":       {answers: [][]string{{"10", "20"}, {"40"}}, follows: true},
		"a gap within an answer":          {answers: [][]string{{"1", "2", "5"}, {"9"}}, follows: true},
		"taken up after an event":         {last: "12", answers: [][]string{{"13", "14"}}, follows: true},
		"taken up at the start":           {last: "12", answers: [][]string{{"1"}}},
		"taken up at the same event":      {last: "12", answers: [][]string{{"12"}}},
		"taken up, one left out later":    {last: "12", answers: [][]string{{"13"}, {"15"}}},
		"taken up, further answer":        {last: "12", answers: [][]string{{"13", "14"}, {"16"}}},
		"IDs that are no numbers":         {last: "x", answers: [][]string{{"a", "b"}, {"a"}}, follows: true},
		"events without an ID in between": {answers: [][]string{{"1", "", "2"}, {"3", ""}}, follows: true},
		"goes on without a number":        {answers: [][]string{{"1", "2"}, {"", "3"}}},
		"goes on with another ID":         {answers: [][]string{{"1", "2"}, {"x1", "x2"}}},
		"taken up without a number":       {last: "12", answers: [][]string{{"", "13"}}},
		"numbers by chance":               {answers: [][]string{{"8", "9", "a", "b"}, {"c"}}, follows: true},
		"never a number":                  {answers: [][]string{{"", ""}, {"", ""}}, follows: true},
		"the largest number":              {answers: [][]string{{"18446744073709551614", "18446744073709551615"}, {"0"}}},
	} {
		eo, follows := eventOrder{}.withLast(tc.last), true
		for _, ids := range tc.answers {
			for ix, id := range ids {
				ok := false
				eo, ok = eo.withNext(id, ix == 0)
				follows = follows && ok
			}
		}
		if follows != tc.follows {
			t.Errorf("%s: follows is %v", name, follows)
		}
	}
}
