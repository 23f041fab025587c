package spread

import "slices"

// compatible returns the servers whose software version a request allows.
func compatible(group []*member, rq *Request) []*member {
	if !rq.SoftwareRequired {
		return group
	}
	allowed := make([]*member, 0, len(group))
	for _, me := range group {
		if me.software() == rq.Software {
			allowed = append(allowed, me)
		}
	}
	return allowed
}

// software returns the version of the software of the server's present run. It is empty while only the agent
// or the server itself has named that run: the record is that of an earlier one.
func (me *member) software() string {
	if me.startedAgain() {
		return ""
	}
	return me.Software
}

// startedAgain reports whether the server has started again since its record was written.
func (me *member) startedAgain() bool { return max(me.load.Born, me.answeredRun) > me.Born }

// RestartedService returns the service of a server, and whether the server has started again, so that its software version
// is not known.
func (fl *Fleet) RestartedService(id string) (string, bool) {
	if me := fl.members[id]; me != nil {
		return me.Service, me.startedAgain()
	}
	return "", false
}

// StartedAgain reports whether a server of some services has started again, so that its software version is not known.
func (fl *Fleet) StartedAgain(services []string) bool {
	for _, service := range services {
		if slices.ContainsFunc(fl.services[service], (*member).startedAgain) {
			return true
		}
	}
	return false
}

// Software returns the version of the software of a server's present run, empty if it is not known.
func (fl *Fleet) Software(id string) string {
	if me := fl.members[id]; me != nil {
		return me.software()
	}
	return ""
}

// SoftwareOfRun returns the software version of the run of a server that an attempt was sent to, which was
// believed to run one. It is empty if a later run has become known since: the attempt may have reached that one.
func (fl *Fleet) SoftwareOfRun(id string, born int64, believed string) string {
	me := fl.members[id]
	switch {
	case me == nil:
		return believed
	case fl.RunStart(id) != born:
		return ""
	}
	return me.software()
}

// RunAnswered records the start of the present run that a server itself has named.
func (fl *Fleet) RunAnswered(id string, born int64) {
	if me := fl.members[id]; me != nil {
		me.answeredRun = born
	}
}

// HasSoftware reports whether a server of a service, leaving ones aside, runs a version of its software.
func (fl *Fleet) HasSoftware(service, software string) bool {
	for _, me := range fl.services[service] {
		if !me.leaving() && me.software() == software {
			return true
		}
	}
	return false
}
