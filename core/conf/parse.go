package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// ProblemError is a fault in a settings file with its place and remedy.
type ProblemError struct {
	File   string
	Line   int
	Column int
	Detail string
	Remedy string
}

// Error returns file, line, column, what is wrong and the remedy.
func (pr *ProblemError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", pr.File, pr.Line, pr.Column, pr.Detail, pr.Remedy)
}

// ParseTree reads a settings tree from YAML and checks it; errors are of type *ProblemError.
func ParseTree(file string, data []byte) (Tree, error) {
	tr := Tree{}
	if err := parse(file, data, &tr); err != nil {
		return Tree{}, err
	}
	if fi := tr.Check(); fi != nil {
		return Tree{}, locate(file, data, fi)
	}
	return tr, nil
}

// ParseEntry reads an entry node's settings file; errors are of type *ProblemError.
func ParseEntry(file string, data []byte) (EntrySettings, error) {
	es := EntrySettings{}
	if err := parse(file, data, &es); err != nil {
		return EntrySettings{}, err
	}
	if fi := es.check(); fi != nil {
		return EntrySettings{}, locate(file, data, fi)
	}
	return es, nil
}

// ParseAgent reads an agent's settings file; errors are of type *ProblemError.
func ParseAgent(file string, data []byte) (AgentSettings, error) {
	as := AgentSettings{}
	if err := parse(file, data, &as); err != nil {
		return AgentSettings{}, err
	}
	if fi := as.check(); fi != nil {
		return AgentSettings{}, locate(file, data, fi)
	}
	return as, nil
}

// ParseDirectEntry reads the settings file of an entry node that sends requests itself; errors are of type *ProblemError.
func ParseDirectEntry(file string, data []byte) (DirectEntrySettings, error) {
	de := DirectEntrySettings{}
	if err := parse(file, data, &de); err != nil {
		return DirectEntrySettings{}, err
	}
	if fi := de.check(); fi != nil {
		return DirectEntrySettings{}, locate(file, data, fi)
	}
	return de, nil
}

// ParseDirectAgent reads the settings file of an agent that grants requests; errors are of type *ProblemError.
func ParseDirectAgent(file string, data []byte) (DirectAgentSettings, error) {
	da := DirectAgentSettings{}
	if err := parse(file, data, &da); err != nil {
		return DirectAgentSettings{}, err
	}
	if fi := da.check(); fi != nil {
		return DirectAgentSettings{}, locate(file, data, fi)
	}
	return da, nil
}

// ParseCtl reads the command line's settings file; errors are of type *ProblemError.
func ParseCtl(file string, data []byte) (CtlSettings, error) {
	cs := CtlSettings{}
	err := parse(file, data, &cs)
	return cs, err
}

// DecodeSubtree reads a subtree from JSON and refuses unknown keys.
func DecodeSubtree(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.Wrap(err, "conf: decode subtree")
	}
	if dec.More() {
		return errors.New("conf: subtree is followed by more data")
	}
	return nil
}

// parse decodes YAML strictly and turns an error of the library into a ProblemError.
func parse(file string, data []byte, into any) error {
	err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(into)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return &ProblemError{File: file, Line: 1, Column: 1, Detail: "the file is empty", Remedy: "write the settings, see docs/SETTINGS.md"}
	}
	pr := &ProblemError{File: file, Line: 1, Column: 1, Detail: err.Error(), Remedy: "correct the value, see docs/SETTINGS.md"}
	var ye yaml.Error
	if errors.As(err, &ye) {
		pr.Detail = ye.GetMessage()
		if tk := ye.GetToken(); tk != nil && tk.Position != nil {
			pr.Line = tk.Position.Line
			pr.Column = tk.Position.Column
		}
	}
	if strings.Contains(pr.Detail, "unknown field") {
		pr.Remedy = "remove the key or correct its spelling, see docs/SETTINGS.md"
	}
	return pr
}

// locate finds the line of a finding in the source.
func locate(file string, data []byte, fi *FindingError) *ProblemError {
	pr := &ProblemError{File: file, Line: 1, Column: 1, Detail: fi.Path + ": " + fi.Detail, Remedy: fi.Remedy}
	pt, err := yaml.PathString(fi.yamlPath())
	if err != nil {
		return pr
	}
	var nd ast.Node
	if nd, err = pt.ReadNode(bytes.NewReader(data)); err != nil || nd.GetToken() == nil {
		return pr
	}
	pr.Line = nd.GetToken().Position.Line
	pr.Column = nd.GetToken().Position.Column
	return pr
}
