package plat

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// One host that cannot be read must not hide the others. The whole list was ignored for it, so that the node stopped
// following it.
func TestListSkipsHostsThatCannotBeRead(t *testing.T) {
	sound := `{"name":"a","role":"agent","address":"10.0.0.1:7"}`
	for name, odd := range map[string]string{
		"another type":      `5`,
		"field of a type":   `{"name":7}`,
		"deeply nested":     `{"name":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
		"number too large":  `{"name":"b","address":"10.0.0.2:7","leaving":1e999}`,
		"port out of range": `{"name":"b","role":"agent","address":"10.0.0.2:70000"}`,
		"port zero":         `{"name":"b","role":"agent","address":"10.0.0.2:0"}`,
		"no port":           `{"name":"b","role":"agent","address":"10.0.0.2"}`,
		"no name":           `{"role":"agent","address":"10.0.0.2:7"}`,
		"long address":      `{"name":"b","role":"agent","address":"` + strings.Repeat("x", 100_000) + `"}`,
	} {
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(wr, `{"hosts":[`+odd+`,`+sound+`]}`)
		}))
		list, err := NewHosts(sv.Client(), sv.URL, zerolog.Nop()).List(t.Context())
		sv.Close()
		if err != nil || len(list) != 1 || list[0].Name != "a" {
			t.Errorf("%s: hosts %v, error %v, want only a", name, list, err)
		}
	}
}

// A list that was cut off must not pass for the whole one: hosts that are missing would count as gone.
func TestListThatIsNotWholeIsAnError(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"hosts":5}`, `{"hosts":[{"name":"a","address":"10.0.0.1:7"}`, `{"hosts":[{"name":"a","address":"10.0.0.1:7"},`} {
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, text) }))
		list, err := NewHosts(sv.Client(), sv.URL, zerolog.Nop()).List(t.Context())
		sv.Close()
		if err == nil {
			t.Errorf("%q: hosts %v", text, list)
		}
	}
}
