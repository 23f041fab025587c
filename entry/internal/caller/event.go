package caller

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// event is what an event of a completion stream means for where the stream goes on after a break.
type event struct {
	// token is true if the event contains generated text, finishes if it gives the reason for the end.
	token    bool
	finishes bool
	// counted is true if all that the event has generated is one token of the one choice, so that a number of tokens
	// says where the stream goes on.
	counted bool
}

// parseEvent reads an event of a completion stream.
func parseEvent(part []byte) event {
	data, found := bytes.CutPrefix(part, []byte(dataPrefix))
	if !found || bytes.HasPrefix(data, []byte(doneData)) {
		return event{counted: true}
	}
	choices := gjson.GetBytes(data, "choices").Array()
	if len(choices) == 0 {
		return event{counted: true}
	}
	ch := choices[0]
	return event{
		token:    ch.Get("delta.content").String() != "" || ch.Get("text").String() != "",
		finishes: hasValue(ch.Get("finish_reason")),
		counted:  len(choices) == 1 && ch.Get("index").Int() == 0 && hasTextOnly(ch.Get("delta")),
	}
}

// hasTextOnly reports whether a delta has generated nothing but text.
func hasTextOnly(delta gjson.Result) bool {
	only := true
	delta.ForEach(func(name, value gjson.Result) bool {
		only = name.String() == "role" || name.String() == "content" || !hasValue(value)
		return only
	})
	return only
}

// hasValue reports whether a field is neither missing nor empty.
func hasValue(value gjson.Result) bool {
	switch value.Raw {
	case "", "null", `""`, "[]", "{}":
		return false
	}
	return true
}
