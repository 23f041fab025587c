package proofs

import (
	"net/http"
	"strings"
	"testing"
)

// ownBroken sends the engine's stream with its text changed and breaks it off.
func ownBroken(change func(text string) string) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, inner http.Handler) {
		ownChanged(change)(wr, rq, inner)
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	}
}

// An engine goes away after the event that gives the reason for the end. Callers would get that event twice.
func TestOwnStreamThatBreaksBeforeItsEndFinishesOnce(t *testing.T) {
	re := runOwnFollowing(t, ownBroken(func(text string) string { return strings.TrimSuffix(text, "data: [DONE]\n\n") }))
	checkOwnStream(t, re)
	if _, complete := re.text(); !complete || strings.Count(re.body, `"finish_reason":"stop"`) != 1 {
		t.Errorf("status %d, error %v, %d events give a reason for the end: %q", re.status, re.err, strings.Count(re.body, `"finish_reason":"stop"`), re.end())
	}
}

// A stream breaks off that holds more than the tokens of one text, which alone are counted. Callers would get events
// twice, or those of one choice in another, if it went on after that number of tokens.
func TestOwnStreamGoesOnOnlyIfItsTokensAreCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		old, text string
		goesOn    bool
	}{
		"text alone":                {"", "", true},
		"several choices":           {`"index":0`, `"index":1`, false},
		"choices in an event":       {`"choices":[`, `"choices":[{"index":1,"delta":{"content":"x"}},`, false},
		"calls of tools":            {`"role":"assistant"`, `"role":"assistant","tool_calls":[{"index":0,"function":{"arguments":"x"}}]`, false},
		"reasoning":                 {`"role":"assistant"`, `"role":"assistant","reasoning_content":"x"`, false},
		"fields of no value":        {`"role":"assistant"`, `"role":"assistant","tool_calls":[],"refusal":null,"reasoning_content":""`, true},
		"usage beside choices":      {`"choices":[`, `"usage":{"completion_tokens":1},"choices":[`, true},
		"a choice without an index": {`"index":0,`, ``, true},
	} {
		t.Run(name, func(t *testing.T) {
			re := runOwnFollowing(t, ownBroken(func(text string) string {
				return strings.Replace(firstEvents(text), tc.old, tc.text, 1)
			}))
			if tc.goesOn {
				checkOwnStream(t, re)
			}
			if _, complete := re.text(); complete != tc.goesOn || (re.err == nil) != tc.goesOn {
				t.Errorf("the stream went on: %t, want %t; status %d, error %v, %q", complete, tc.goesOn, re.status, re.err, re.end())
			}
		})
	}
}
