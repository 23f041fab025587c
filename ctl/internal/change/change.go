package change

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/conf"
)

// Subtrees returns the subtrees of a settings tree by path, as canonical JSON, so that equal subtrees
// have equal bytes.
func Subtrees(tr conf.Tree) (map[string]json.RawMessage, error) {
	subtrees := map[string]json.RawMessage{}
	encode := func(path string, value any) error {
		data, err := json.Marshal(value)
		subtrees[path] = data
		return errors.Wrapf(err, "change: encode %s", path)
	}
	var err error
	if tr.Deployment != nil {
		err = encode("deployment", tr.Deployment)
	}
	for name, mo := range tr.Models {
		err = errors.CombineErrors(err, encode("models/"+name, mo))
	}
	for name, ad := range tr.Adapters {
		err = errors.CombineErrors(err, encode("adapters/"+name, ad))
	}
	for name, se := range tr.Services {
		err = errors.CombineErrors(err, encode("services/"+name, se))
	}
	for name, te := range tr.Teams {
		err = errors.CombineErrors(err, encode("teams/"+name, te))
	}
	return subtrees, err
}

// Edits returns the edits that turn the accepted settings into those of a tree, sorted by path.
// It removes accepted subtrees that the tree lacks only if prune is true.
func Edits(tr conf.Tree, current admin.Settings, prune bool) ([]admin.Edit, error) {
	wanted, err := Subtrees(tr)
	if err != nil {
		return nil, err
	}
	accepted := map[string]admin.Subtree{}
	for _, su := range current.Subtrees {
		accepted[su.Path] = su
	}
	edits := make([]admin.Edit, 0)
	for path, body := range wanted {
		su := accepted[path]
		if !bytes.Equal(compactJSON(su.Body), compactJSON(body)) {
			edits = append(edits, admin.Edit{Path: path, Base: su.Revision, Body: body})
		}
	}
	for path, su := range accepted {
		if _, inTree := wanted[path]; !inTree && prune {
			edits = append(edits, admin.Edit{Path: path, Base: su.Revision, Remove: true})
		}
	}
	slices.SortFunc(edits, func(aa, bb admin.Edit) int { return strings.Compare(aa.Path, bb.Path) })
	return edits, nil
}

// compactJSON removes insignificant white space, so that equal subtrees have equal bytes. It
// returns invalid JSON unchanged.
func compactJSON(data []byte) []byte {
	buf := bytes.Buffer{}
	if json.Compact(&buf, data) != nil {
		return data
	}
	return buf.Bytes()
}
