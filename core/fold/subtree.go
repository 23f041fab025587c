package fold

import (
	"maps"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
)

// withSubtree returns the tree with the subtree at a path replaced, or removed if the body is
// empty.
func withSubtree(tr conf.Tree, path string, body []byte) (conf.Tree, error) {
	kind, name, _ := strings.Cut(path, "/")
	switch kind {
	case "deployment":
		return withDeployment(tr, name, body)
	case "models":
		return withModel(tr, name, body)
	case "adapters":
		return withAdapter(tr, name, body)
	case "services":
		return withService(tr, name, body)
	case "teams":
		return withTeam(tr, name, body)
	}
	return tr, errors.Newf("fold: path %q is unknown; use deployment, models, adapters, services or teams", path)
}

// withDeployment returns the tree with the deployment's settings replaced or removed.
func withDeployment(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	if name != "" {
		return tr, errors.Newf("fold: deployment has no subtree %q; use deployment alone", name)
	}
	tr.Deployment = nil
	if len(body) == 0 {
		return tr, nil
	}
	tr.Deployment = &conf.Deployment{}
	return tr, conf.DecodeSubtree(body, tr.Deployment)
}

// withModel returns the tree with a base model replaced or removed.
func withModel(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	models := conf.TreeModels{}
	maps.Copy(models, tr.Models)
	delete(models, name)
	tr.Models = models
	if len(body) == 0 {
		return tr, nil
	}
	mo := conf.Model{}
	err := conf.DecodeSubtree(body, &mo)
	models[name] = mo
	return tr, err
}

// withAdapter returns the tree with an adapter replaced or removed.
func withAdapter(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	adapters := conf.TreeAdapters{}
	maps.Copy(adapters, tr.Adapters)
	delete(adapters, name)
	tr.Adapters = adapters
	if len(body) == 0 {
		return tr, nil
	}
	ad := conf.Adapter{}
	err := conf.DecodeSubtree(body, &ad)
	adapters[name] = ad
	return tr, err
}

// withService returns the tree with a plain service replaced or removed.
func withService(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	services := conf.TreeServices{}
	maps.Copy(services, tr.Services)
	delete(services, name)
	tr.Services = services
	if len(body) == 0 {
		return tr, nil
	}
	se := conf.Service{}
	err := conf.DecodeSubtree(body, &se)
	services[name] = se
	return tr, err
}

// withTeam returns the tree with a team replaced or removed.
func withTeam(tr conf.Tree, name string, body []byte) (conf.Tree, error) {
	teams := conf.TreeTeams{}
	maps.Copy(teams, tr.Teams)
	delete(teams, name)
	tr.Teams = teams
	if len(body) == 0 {
		return tr, nil
	}
	te := conf.Team{}
	err := conf.DecodeSubtree(body, &te)
	teams[name] = te
	return tr, err
}
