package roster

// Published is what the records of the backend servers last said, adapters aside. Unlike a Roster, it holds
// nothing that a node has learned in another way, so all nodes that have read the same records agree on it. The zero
// value is empty.
type Published struct {
	servers map[string]Server
}

// Put stores the record of a server, and reports whether it says anything new but for adapters. Agents report the
// adapters of their engines sooner than the records do.
func (pu *Published) Put(se Server) bool {
	if pu.servers == nil {
		pu.servers = map[string]Server{}
	}
	before, known := pu.servers[se.ID]
	se.Adapters = nil
	pu.servers[se.ID] = se
	return !known || before.Service != se.Service || before.Address != se.Address || before.Zone != se.Zone || before.Software != se.Software ||
		before.Places != se.Places || before.Leaving != se.Leaving || before.Born != se.Born || before.Model != se.Model
}

// Remove forgets the record of a server, as it was removed or cannot be read any more, and reports whether there was
// one.
func (pu *Published) Remove(id string) bool {
	_, known := pu.servers[id]
	delete(pu.servers, id)
	return known
}

// Clear forgets all records, before a listing of all of them is put in.
func (pu *Published) Clear() { pu.servers = nil }
