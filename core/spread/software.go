package spread

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
// has reported that run: the record is that of an earlier one.
func (me *member) software() string {
	if me.load.Born > me.Born {
		return ""
	}
	return me.Software
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

// HasSoftware reports whether a server of a service, leaving ones aside, runs a version of its software.
func (fl *Fleet) HasSoftware(service, software string) bool {
	for _, me := range fl.services[service] {
		if !me.leaving() && me.software() == software {
			return true
		}
	}
	return false
}
