package proofs

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// asksPerCaller is the number of streams and calls that a caller asks for, drawnTriesMax that of its requests for one stream.
	asksPerCaller = 12
	drawnTriesMax = 6
	// giveUpTime is how long after its deadline a caller stops to wait.
	giveUpTime = 20 * time.Second
	// askPauseMax is the longest time between what a caller asks for, takeUpPauseMax the longest until it takes a broken
	// stream up.
	askPauseMax    = 500 * time.Millisecond
	takeUpPauseMax = 700 * time.Millisecond
	// lengthMax is the most events of a stream, periodMax the longest time between two of them.
	lengthMax = 12
	periodMax = 250 * time.Millisecond
)

// drawnCaller asks for streams and calls, one after the other, and keeps its connections.
type drawnCaller struct {
	world  *drawnWorld
	name   string
	client *http.Client
	random *rand.Rand
}

// newDrawnCaller returns a caller.
func (dw *drawnWorld) newDrawnCaller(number int) *drawnCaller {
	return &drawnCaller{
		world: dw, name: fmt.Sprintf("c%d", number), random: rand.New(rand.NewPCG(dw.plan.Seed, uint64(1000+number))),
		client: &http.Client{
			Transport:     &http.Transport{DialContext: dw.ds.net.forHost("caller").DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// run asks until it has asked for all, or the context ends.
func (dc *drawnCaller) run(ctx context.Context) {
	defer dc.client.CloseIdleConnections()
	for number := range asksPerCaller {
		time.Sleep(upTo(dc.random, askPauseMax))
		if ctx.Err() != nil {
			return
		}
		dc.world.recordAsk(dc.ask(ctx, fmt.Sprintf("%s-%d", dc.name, number)))
	}
}

// upTo draws a time.
func upTo(rn *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rn.Int64N(int64(most)))
}

// drawnRequest is what a caller sends for an ask.
type drawnRequest struct {
	target, adapter string
	timeout         time.Duration
	// named is true if the caller names the request that brought the first event.
	named bool
}

// ask asks for one stream or call.
func (dc *drawnCaller) ask(ctx context.Context, name string) drawnAsk {
	kinds := []drawnKind{askStream, askStream, askStream, askOnce, askSafe, askUnsafe}
	da := drawnAsk{name: name, kind: kinds[dc.random.IntN(len(kinds))]}
	period := upTo(dc.random, periodMax)
	rq := drawnRequest{timeout: 2*time.Second + upTo(dc.random, 3*time.Second), named: dc.random.IntN(4) > 0}
	if da.kind.streams() {
		da.length = 1 + dc.random.IntN(lengthMax)
		rq.adapter = fmt.Sprintf("a%d", dc.random.IntN(3))
	}
	rq.target = fmt.Sprintf("/%s/x?name=%s&length=%d&period=%d", da.kind, name, da.length, period.Milliseconds())
	dc.sendAll(ctx, &da, rq)
	return da
}

// sendAll sends the requests of an ask: a stream that may be resumed is taken up until it is whole.
func (dc *drawnCaller) sendAll(ctx context.Context, da *drawnAsk, rq drawnRequest) {
	last, begunBy := 0, ""
	for try := range drawnTriesMax {
		dr := dc.send(ctx, rq, fmt.Sprintf("%s-%d", da.name, try), begunBy, last)
		da.replies = append(da.replies, dr)
		if count := len(dr.events); count > 0 {
			if last == 0 {
				begunBy = dr.id
			}
			last = dr.events[count-1].number
		}
		if da.kind != askStream || dr.looksWhole() || ctx.Err() != nil {
			return
		}
		time.Sleep(upTo(dc.random, takeUpPauseMax))
	}
}

// send sends one request and reads its answer.
func (dc *drawnCaller) send(ctx context.Context, rq drawnRequest, id, begunBy string, last int) drawnReply {
	dr := drawnReply{id: id, entry: dc.world.pickEntry(dc.random), last: last, start: time.Now(), timeout: rq.timeout}
	// The request is short, so that its last byte is sent at once.
	dr.sent = dr.start
	ctx, cancel := context.WithTimeout(ctx, rq.timeout+giveUpTime)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dr.entry+":1"+rq.target, strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	hr.Host = directHost
	hr.Header.Set(headerID, id)
	hr.Header.Set(headerTimeout, strconv.FormatInt(rq.timeout.Milliseconds(), 10))
	if rq.adapter != "" {
		hr.Header.Set(headerAdapter, rq.adapter)
	}
	hr.Header.Set(headerAsked, strconv.Itoa(last))
	if last > 0 {
		hr.Header.Set(headerLastEvent, strconv.Itoa(last))
		if rq.named {
			dr.resumes = begunBy
			hr.Header.Set(headerResumes, begunBy)
		}
	}
	return dc.exchange(hr, dr)
}

// exchange sends a request and records what came.
func (dc *drawnCaller) exchange(hr *http.Request, dr drawnReply) drawnReply {
	resp, err := dc.client.Do(hr)
	if err != nil {
		dr.took, dr.broken = time.Since(dr.start), err.Error()
		return dr
	}
	defer func() { _ = resp.Body.Close() }()
	dr.status, dr.contentType = resp.StatusCode, resp.Header.Get("Content-Type")
	data, err := io.ReadAll(resp.Body)
	dr.took = time.Since(dr.start)
	if err != nil {
		dr.broken = err.Error()
	}
	return dr.withBody(string(data))
}
