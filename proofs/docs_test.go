package proofs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// readProjectFile returns the contents of a file of the repository.
func readProjectFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// programSources returns the Go code of the programs, without tests and generated files.
func programSources(t *testing.T) string {
	t.Helper()
	all := strings.Builder{}
	for _, module := range []string{"core", "entry", "agent", "ctl", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", module), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".gen.go") {
				return err
			}
			data, err := os.ReadFile(path)
			all.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

// Every setting in the schema must have a row in docs/SETTINGS.md.
func TestSettingsPageListsEverySetting(t *testing.T) {
	schema := struct {
		Defs map[string]struct {
			Properties map[string]json.RawMessage
		} `json:"$defs"`
	}{}
	if err := json.Unmarshal([]byte(readProjectFile(t, "core/schema/settings.json")), &schema); err != nil {
		t.Fatal(err)
	}
	page := readProjectFile(t, "docs/SETTINGS.md")
	for name, def := range schema.Defs {
		for key := range def.Properties {
			if name != "root" && !strings.Contains(page, "| `"+key+"` |") {
				t.Errorf("docs/SETTINGS.md has no row for setting %s of %s", key, name)
			}
		}
	}
}

// The pages for operators must not list log events that no program logs.
func TestOperatorsPagesListOnlyLoggedEvents(t *testing.T) {
	for _, page := range []string{"docs/OPERATORS.md", "docs/OPERATIONS.md"} {
		checkEvents(t, readProjectFile(t, page))
	}
}

// checkEvents verifies that a program logs each event in the event table of a page.
func checkEvents(t *testing.T, page string) {
	t.Helper()
	_, table, _ := strings.Cut(page, "| event | program | meaning |")
	table, _, _ = strings.Cut(table, "\n## ")
	code := programSources(t)
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 2 {
			continue
		}
		for _, event := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
			if !strings.Contains(code, `Msg("`+event[1]+`")`) {
				t.Errorf("no program logs event %s", event[1])
			}
		}
	}
}

// Every kind of error that callers can receive must have a row in docs/CALLERS.md.
func TestCallersPageListsEveryErrorKind(t *testing.T) {
	page := readProjectFile(t, "docs/CALLERS.md")
	for _, kind := range regexp.MustCompile(`Kind = "([a-z_]+)"`).FindAllStringSubmatch(readProjectFile(t, "core/fault/fault.go"), -1) {
		if !strings.Contains(page, "| `"+kind[1]+"` |") {
			t.Errorf("docs/CALLERS.md has no row for error kind %s", kind[1])
		}
	}
}

// The packages that make decisions must do no I/O, read no clock, start no goroutine and log nothing.
func TestDecisionPackagesDoNoInputOrOutput(t *testing.T) {
	for _, name := range []string{"claim", "conf", "decay", "fold", "grant", "lease", "limit", "member", "paths", "poison", "quota", "retry", "roster", "route", "runs", "sched", "spread"} {
		files, err := filepath.Glob(filepath.Join("..", "core", name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in core/%s", name)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, word := range []string{`"os"`, `"net"`, `"net/http"`, `"log"`, "zerolog", "time.Now()", "time.Sleep", "\tgo "} {
				if strings.Contains(string(data), word) {
					t.Errorf("%s contains %s, which decision packages must not use", file, word)
				}
			}
		}
	}
}
