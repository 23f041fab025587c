package grant

import "time"

// addGrant adds a granted request.
func (en *Engine) addGrant(rq *Request, now time.Time) {
	en.forgetGrant(rq.Attempt, now)
	en.granted[rq.Attempt] = &granted{Request: *rq}
	en.pins[rq.Key]++
	en.reserved += rq.tokens()
	en.shares.grantAdded(rq.share, rq.tokens())
	en.pacer.grantAdded(rq.PauseMax)
}

// removeGrant removes a granted request.
func (en *Engine) removeGrant(attempt string, now time.Time) {
	en.forgetGrant(attempt, now)
	en.pacer.requestEnded(attempt, now)
}

// forgetGrant removes a request from those that count as granted.
func (en *Engine) forgetGrant(attempt string, now time.Time) {
	gr := en.granted[attempt]
	if gr == nil {
		return
	}
	delete(en.granted, attempt)
	en.reserved -= gr.tokens()
	if en.pins[gr.Key]--; en.pins[gr.Key] == 0 {
		delete(en.pins, gr.Key)
	}
	en.shares.grantRemoved(gr.share, gr.tokens(), now)
	en.pacer.grantRemoved(gr.PauseMax)
}
