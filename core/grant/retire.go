package grant

import "time"

// retire returns a loaded adapter that makes room for that of a request although other requests wait for it, once no
// granted request uses it. Without this, an organisation whose adapters fill all slots and are requested all the time
// would keep them. It applies only to an organisation that is overdue, and spares adapters that it uses
// itself or that are used without an organisation.
func (en *Engine) retire(rq *Request, now time.Time) (Key, bool) {
	if rq.Organisation == "" || !rq.share.overdue(now) {
		en.retiring = Key{}
		return Key{}, false
	}
	if !en.isLoaded(en.retiring) {
		en.retiring = en.retirable(rq.share, now)
	}
	return en.retiring, en.isLoaded(en.retiring) && en.pinCount(en.retiring) == 0
}

// retirable returns the adapter that makes room for one of an organisation: the least popular one that only other
// organisations use, or the zero key.
func (en *Engine) retirable(sh *share, now time.Time) Key {
	spared := map[Key]bool{}
	spare := func(rq *Request) {
		if rq.Organisation == "" || rq.share == sh || rq.share.overdue(now) {
			spared[rq.Key] = true
		}
	}
	for ix := range en.queue {
		spare(&en.queue[ix])
	}
	for _, gr := range en.granted {
		spare(&gr.Request)
	}
	candidate, lowest := Key{}, 0.0
	for ke := range en.loaded {
		if _, loading := en.loading[ke]; loading || spared[ke] {
			continue
		}
		count := en.popularity[ke].At(now, popularityHalfLife)
		if candidate == (Key{}) || count < lowest || count == lowest && ke.Adapter < candidate.Adapter {
			candidate, lowest = ke, count
		}
	}
	return candidate
}
