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

// Subtrees returns the subtrees of a settings tree as canonical JSON by path.
func Subtrees(tr conf.Tree) (map[string]json.RawMessage, error) {
	list := map[string]json.RawMessage{}
	add := func(path string, value any) error {
		data, err := json.Marshal(value)
		list[path] = data
		return errors.Wrapf(err, "change: encode %s", path)
	}
	var err error
	if tr.Deployment != nil {
		err = add("deployment", tr.Deployment)
	}
	for name, mo := range tr.Models {
		err = errors.CombineErrors(err, add("models/"+name, mo))
	}
	for name, ad := range tr.Adapters {
		err = errors.CombineErrors(err, add("adapters/"+name, ad))
	}
	for name, se := range tr.Services {
		err = errors.CombineErrors(err, add("services/"+name, se))
	}
	for name, te := range tr.Teams {
		err = errors.CombineErrors(err, add("teams/"+name, te))
	}
	return list, err
}

// Edits returns the edits that turn the accepted settings into those of a tree, in
// the order of their paths. With prune set, subtrees that the tree lacks are removed.
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
		if !bytes.Equal(compact(su.Body), compact(body)) {
			edits = append(edits, admin.Edit{Path: path, Base: su.Revision, Body: body})
		}
	}
	for path, su := range accepted {
		if _, keep := wanted[path]; !keep && prune {
			edits = append(edits, admin.Edit{Path: path, Base: su.Revision, Remove: true})
		}
	}
	slices.SortFunc(edits, func(aa, bb admin.Edit) int { return strings.Compare(aa.Path, bb.Path) })
	return edits, nil
}

// compact renders JSON without white space, so that equal subtrees compare equal.
func compact(data []byte) []byte {
	buf := bytes.Buffer{}
	if json.Compact(&buf, data) != nil {
		return data
	}
	return buf.Bytes()
}
