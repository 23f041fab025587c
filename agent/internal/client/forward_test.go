package client

import (
	"encoding/json"
	"testing"

	"github.com/bambooladder/bambooladder/core/wire"
)

// FuzzEngineBodyIsValidJSONWithTheHandleAsModel guards against a body that becomes invalid JSON when
// keys are inserted, such as an empty object, and against a wrong model. The model is checked only in
// a body without other keys, because encoding/json ignores case and would read a key like MODEL too.
func FuzzEngineBodyIsValidJSONWithTheHandleAsModel(fu *testing.F) {
	fu.Add([]byte(`{"messages":[]}`), 3)
	fu.Add([]byte(`{}`), 0)
	fu.Add([]byte(` { } `), 1)
	fu.Fuzz(func(t *testing.T, body []byte, resume int) {
		fields := map[string]json.RawMessage{}
		if json.Unmarshal(body, &fields) != nil || fields == nil {
			return
		}
		delete(fields, "model")
		delete(fields, "resume_tokens")
		clean, err := json.Marshal(fields)
		if err != nil {
			return
		}
		parsed := struct {
			Model string `json:"model"`
		}{}
		data := engineBody(&wire.Dispatch{Body: clean, ResumeTokens: resume}, "cure@1#boot-1")
		if !json.Valid(data) {
			t.Fatalf("the body is not valid JSON: %s", data)
		}
		if len(fields) == 0 && json.Unmarshal(data, &parsed) == nil && parsed.Model != "cure@1#boot-1" {
			t.Fatalf("the model is not the handle: %s", data)
		}
	})
}
