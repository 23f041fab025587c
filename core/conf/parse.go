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

// FileError is an error in a settings file, with its position and how to correct it.
type FileError struct {
	File   string
	Line   int
	Column int
	Detail string
	Remedy string
}

// Error returns the position, what is wrong and how to correct it.
func (fe *FileError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", fe.File, fe.Line, fe.Column, fe.Detail, fe.Remedy)
}

// ParseTree reads a settings tree from YAML and validates it. Errors are of type *FileError.
func ParseTree(file string, data []byte) (Tree, error) {
	tr := Tree{}
	if err := parse(file, data, &tr); err != nil {
		return Tree{}, err
	}
	if ve := tr.Check(); ve != nil {
		return Tree{}, locate(file, data, ve)
	}
	return tr, nil
}

// ParseEntry reads the settings file of an entry node whose requests go through agents. Errors are
// of type *FileError.
func ParseEntry(file string, data []byte) (EntrySettings, error) {
	es := EntrySettings{}
	if err := parse(file, data, &es); err != nil {
		return EntrySettings{}, err
	}
	if ve := es.check(); ve != nil {
		return EntrySettings{}, locate(file, data, ve)
	}
	return es, nil
}

// ParseAgent reads the settings file of an agent that runs the requests sent to it. Errors are of
// type *FileError.
func ParseAgent(file string, data []byte) (AgentSettings, error) {
	as := AgentSettings{}
	if err := parse(file, data, &as); err != nil {
		return AgentSettings{}, err
	}
	if ve := as.check(); ve != nil {
		return AgentSettings{}, locate(file, data, ve)
	}
	return as, nil
}

// ParseDirectEntry reads the settings file of an entry node that sends requests directly to the
// backend servers. Errors are of type *FileError.
func ParseDirectEntry(file string, data []byte) (DirectEntrySettings, error) {
	de := DirectEntrySettings{}
	if err := parse(file, data, &de); err != nil {
		return DirectEntrySettings{}, err
	}
	if ve := de.check(); ve != nil {
		return DirectEntrySettings{}, locate(file, data, ve)
	}
	return de, nil
}

// ParseDirectAgent reads the settings file of an agent that grants requests, which entry nodes then
// send to the engine directly. Errors are of type *FileError.
func ParseDirectAgent(file string, data []byte) (DirectAgentSettings, error) {
	da := DirectAgentSettings{}
	if err := parse(file, data, &da); err != nil {
		return DirectAgentSettings{}, err
	}
	if ve := da.check(); ve != nil {
		return DirectAgentSettings{}, locate(file, data, ve)
	}
	return da, nil
}

// ParseCtl reads the settings file of the command line client. Errors are of type *FileError.
func ParseCtl(file string, data []byte) (CtlSettings, error) {
	cs := CtlSettings{}
	err := parse(file, data, &cs)
	return cs, err
}

// DecodeSubtree decodes a subtree of the settings from JSON. Unknown keys and data after the value
// are errors, but data that begins with ] or } is ignored.
func DecodeSubtree(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return errors.Wrap(err, "conf: decode subtree")
	}
	if dec.More() {
		return errors.New("conf: subtree is followed by more data")
	}
	return nil
}

// parse decodes YAML, rejects unknown keys and converts errors of the YAML library to FileError.
func parse(file string, data []byte, target any) error {
	err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(target)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return &FileError{File: file, Line: 1, Column: 1, Detail: "the file is empty", Remedy: "write the settings, see docs/SETTINGS.md"}
	}
	fe := &FileError{File: file, Line: 1, Column: 1, Detail: err.Error(), Remedy: "correct the value, see docs/SETTINGS.md"}
	var ye yaml.Error
	if errors.As(err, &ye) {
		fe.Detail = ye.GetMessage()
		if tk := ye.GetToken(); tk != nil && tk.Position != nil {
			fe.Line = tk.Position.Line
			fe.Column = tk.Position.Column
		}
	}
	if strings.Contains(fe.Detail, "unknown field") {
		fe.Remedy = "remove the key or correct its spelling, see docs/SETTINGS.md"
	}
	return fe
}

// locate returns the validation error with its position in the YAML source, or with line 1,
// column 1 if the path is not in the source.
func locate(file string, data []byte, ve *ValidationError) *FileError {
	fe := &FileError{File: file, Line: 1, Column: 1, Detail: ve.Path + ": " + ve.Detail, Remedy: ve.Remedy}
	pt, err := yaml.PathString(ve.yamlPath())
	if err != nil {
		return fe
	}
	var nd ast.Node
	if nd, err = pt.ReadNode(bytes.NewReader(data)); err != nil || nd.GetToken() == nil {
		return fe
	}
	fe.Line = nd.GetToken().Position.Line
	fe.Column = nd.GetToken().Position.Column
	return fe
}
