package fold

import (
	"maps"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
)

// withSubtree returns the tree with the subtree at a path replaced, or removed where the body is empty.
func withSubtree(tr conf.Tree, path string, body []byte) (conf.Tree, error) {
	kind, name, _ := strings.Cut(path, "/")
	switch kind {
	case "deployment":
		return withDeployment(tr, name, body)
	case "models":
		tr.Models = maps.Clone(tr.Models)
		if tr.Models == nil {
			tr.Models = conf.TreeModels{}
		}
		if len(body) == 0 {
			delete(tr.Models, name)
			return tr, nil
		}
		mo := conf.Model{}
		err := conf.DecodeSubtree(body, &mo)
		tr.Models[name] = mo
		return tr, err
	case "adapters":
		tr.Adapters = maps.Clone(tr.Adapters)
		if tr.Adapters == nil {
			tr.Adapters = conf.TreeAdapters{}
		}
		if len(body) == 0 {
			delete(tr.Adapters, name)
			return tr, nil
		}
		ad := conf.Adapter{}
		err := conf.DecodeSubtree(body, &ad)
		tr.Adapters[name] = ad
		return tr, err
	case "services":
		tr.Services = maps.Clone(tr.Services)
		if tr.Services == nil {
			tr.Services = conf.TreeServices{}
		}
		if len(body) == 0 {
			delete(tr.Services, name)
			return tr, nil
		}
		se := conf.Service{}
		err := conf.DecodeSubtree(body, &se)
		tr.Services[name] = se
		return tr, err
	case "teams":
		tr.Teams = maps.Clone(tr.Teams)
		if tr.Teams == nil {
			tr.Teams = conf.TreeTeams{}
		}
		if len(body) == 0 {
			delete(tr.Teams, name)
			return tr, nil
		}
		te := conf.Team{}
		err := conf.DecodeSubtree(body, &te)
		tr.Teams[name] = te
		return tr, err
	}
	return tr, errors.Newf("fold: path %q is unknown; use deployment, models, adapters, services or teams", path)
}

// withDeployment returns the tree with the deployment's settings replaced or removed.
func withDeployment(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	if name != "" {
		return tr, errors.Newf("fold: deployment has no subtree %q; use deployment alone", name)
	}
	if len(body) == 0 {
		tr.Deployment = nil
		return tr, nil
	}
	de := &conf.Deployment{}
	err := conf.DecodeSubtree(body, de)
	tr.Deployment = de
	return tr, err
}
