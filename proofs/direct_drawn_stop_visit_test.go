package proofs

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// slowBodyText is the body of requests whose body comes in parts.
const slowBodyText = "prompt in parts that come one after the other"

// shownPeriod is the time between the events of the longest streams.
const shownPeriod = 100 * time.Millisecond

// drawnVisit is a caller that keeps its connection, and sends its requests on it one after the other.
type drawnVisit struct {
	Entry string
	Seed  uint64
	Steps []visitStep
}

// visitStep is a request of a drawnVisit.
type visitStep struct {
	Kind    drawnKind
	Adapter int
	When    visitWhen
	Body    visitBody
	Answer  visitAnswer
	Timeout time.Duration
}

// visitWhen is when a request is sent, if the answer to the one before has ended by then.
type visitWhen interface{ await(start time.Time) }

// atMoment is a time after the start of the callers.
type atMoment struct{ At time.Duration }

func (am atMoment) await(start time.Time) { time.Sleep(time.Until(start.Add(am.At))) }

// afterAnswer is a pause after the answer to the request before.
type afterAnswer struct{ Pause time.Duration }

func (aa afterAnswer) await(time.Time) { time.Sleep(aa.Pause) }

// visitBody is how the body of a request is sent.
type visitBody interface {
	// head returns the header lines of the body, parts returns what is sent after the head, each part after a pause.
	head() string
	parts() ([]string, time.Duration)
}

// wholeBody is sent with the head.
type wholeBody struct{}

func (wholeBody) head() string                     { return fmt.Sprintf("Content-Length: %d\r\n", len(slowBodyText)) }
func (wholeBody) parts() ([]string, time.Duration) { return []string{slowBodyText}, 0 }

// slowBody is sent in parts over a time, with a length or in chunks.
type slowBody struct {
	Parts   int
	Over    time.Duration
	Chunked bool
}

func (sb slowBody) head() string {
	if sb.Chunked {
		return "Transfer-Encoding: chunked\r\n"
	}
	return wholeBody{}.head()
}

func (sb slowBody) parts() ([]string, time.Duration) {
	list, size := []string(nil), len(slowBodyText)/sb.Parts
	for ix := range sb.Parts {
		to := (ix + 1) * size
		if ix == sb.Parts-1 {
			to = len(slowBodyText)
		}
		part := slowBodyText[ix*size : to]
		if sb.Chunked {
			part = encodeChunk(part)
		}
		list = append(list, part)
	}
	if sb.Chunked {
		list = append(list, lastChunk)
	}
	return list, sb.Over / time.Duration(len(list))
}

// visitAnswer is how long the server takes to answer.
type visitAnswer interface {
	query(streams bool) (string, int)
}

// quickAnswer is an answer at once, for a stream of one event.
type quickAnswer struct{}

func (quickAnswer) query(streams bool) (string, int) {
	if !streams {
		return "length=0", 0
	}
	return "length=1", 1
}

// longAnswerDrawn is an answer for which a server works a time, before or after its head, and a stream that lasts a time.
type longAnswerDrawn struct {
	Head                 bool
	Works, Period, Lasts time.Duration
}

func (la longAnswerDrawn) query(streams bool) (string, int) {
	length := 0
	if streams {
		length = 1 + int(la.Lasts/la.Period)
	}
	return fmt.Sprintf("length=%d&period=%d&work=%d&head=%t", length, la.Period.Milliseconds(), la.Works.Milliseconds(), la.Head), length
}

// within returns the answer shortened to a time.
func (la longAnswerDrawn) within(most time.Duration, streams bool) longAnswerDrawn {
	if !streams {
		la.Works = min(la.Works, most)
		return la
	}
	la.Works, la.Period = min(la.Works, most/2), min(la.Period, most/8)
	la.Lasts = min(la.Lasts, most-la.Works-2*la.Period)
	return la
}

// visitKinds are the kinds of requests of visits.
var visitKinds = []drawnKind{askStream, askOnce, askSafe, askUnsafe}

// showLongest lets each entry node see the longest answer of each kind.
func (dw *drawnWorld) showLongest(ctx context.Context) {
	wg := sync.WaitGroup{}
	for ix := range dw.plan.Entries {
		for number, kind := range visitKinds {
			la := longAnswerDrawn{Works: dw.plan.Longest[kind]}
			if kind.streams() {
				// A server that is silent for long may be given up.
				la = longAnswerDrawn{Period: shownPeriod, Lasts: dw.plan.Longest[kind]}
			}
			vi := dw.newVisitor(1000+10*ix+number, drawnVisit{
				Entry: entryName(ix + 1), Steps: []visitStep{{Kind: kind, When: afterAnswer{}, Body: wholeBody{}, Answer: la, Timeout: patientTimeout}},
			})
			wg.Go(func() { vi.run(ctx, time.Now()) })
		}
	}
	wg.Wait()
}

// visitor plays a drawnVisit.
type visitor struct {
	world  *drawnWorld
	visit  drawnVisit
	random *rand.Rand
	name   string
	conn   net.Conn
	reader *bufio.Reader
	// entry is the node that the connection leads to.
	entry string
}

// newVisitor returns a visitor.
func (dw *drawnWorld) newVisitor(number int, dv drawnVisit) *visitor {
	return &visitor{world: dw, visit: dv, name: fmt.Sprintf("v%d", number), random: rand.New(rand.NewPCG(dv.Seed, 0))}
}

// run sends the requests of the visit.
func (vi *visitor) run(ctx context.Context, start time.Time) {
	defer vi.hangUp()
	for ix := range vi.visit.Steps {
		vs := &vi.visit.Steps[ix]
		vs.When.await(start)
		vi.noticeEnd()
		if vi.conn == nil && !vi.dial(ctx) {
			return
		}
		da := drawnAsk{name: fmt.Sprintf("%s-%d", vi.name, ix), kind: vs.Kind, visit: true}
		da.replies = []drawnReply{vi.send(vs, &da)}
		vi.world.recordAsk(da)
	}
}

// hangUp ends the connection.
func (vi *visitor) hangUp() {
	if vi.conn != nil {
		_ = vi.conn.Close()
		vi.conn = nil
	}
}

// noticeEnd gives the connection up if it is known to have ended.
func (vi *visitor) noticeEnd() {
	if vi.conn == nil {
		return
	}
	_ = vi.conn.SetReadDeadline(time.Now().Add(time.Nanosecond))
	if _, err := vi.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		vi.hangUp()
	}
}

// dial opens a connection to the visitor's entry node, or to one to which callers come.
func (vi *visitor) dial(ctx context.Context) bool {
	for _, pick := range []func() string{func() string { return vi.visit.Entry }, func() string { return vi.world.pickEntry(vi.random) }} {
		entry := pick()
		nc, err := vi.world.ds.net.forHost("caller").DialContext(ctx, "tcp", entry+":1")
		if err == nil {
			vi.conn, vi.reader, vi.entry = nc, bufio.NewReader(nc), entry
			return true
		}
	}
	return false
}

// send sends a request and reads its answer. Both go on at the same time.
func (vi *visitor) send(vs *visitStep, da *drawnAsk) drawnReply {
	query, length := vs.Answer.query(da.kind.streams())
	da.length = length
	dr := drawnReply{id: da.name + "-0", entry: vi.entry, start: time.Now(), timeout: vs.Timeout, raw: true}
	head := fmt.Sprintf("POST /%s/x?name=%s&%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: 0\r\n", da.kind, da.name, query, directHost, headerID, dr.id, headerTimeout, vs.Timeout.Milliseconds(), headerAsked)
	if da.kind.streams() {
		head += fmt.Sprintf("%s: a%d\r\n", headerAdapter, vs.Adapter)
	}
	sc, wg := &sending{stop: make(chan struct{})}, sync.WaitGroup{}
	wg.Go(func() { sc.write(vi.conn, head+vs.Body.head()+"\r\n", vs.Body) })
	_ = vi.conn.SetReadDeadline(time.Now().Add(vs.Timeout + giveUpTime))
	ends := vi.read(&dr)
	dr.took = time.Since(dr.start)
	close(sc.stop)
	wg.Wait()
	dr.sent = sc.at
	if ends || dr.broken != "" || dr.sent.IsZero() {
		vi.hangUp()
	}
	return dr
}

// read reads the answer, and reports whether it ends the connection.
func (vi *visitor) read(dr *drawnReply) bool {
	resp, err := http.ReadResponse(vi.reader, nil)
	if err != nil {
		dr.broken = err.Error()
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	dr.status, dr.contentType = resp.StatusCode, resp.Header.Get("Content-Type")
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		dr.broken = err.Error()
	}
	*dr = dr.withBody(string(data))
	return resp.Close
}

// sending is a request that is being sent.
type sending struct {
	stop chan struct{}
	// at is when the last byte was sent, zero if it was not.
	at time.Time
}

// write writes the head and the body, unless the answer ends before.
func (se *sending) write(nc net.Conn, head string, body visitBody) {
	parts, pause := body.parts()
	if pause == 0 {
		head, parts = head+strings.Join(parts, ""), nil
	}
	if _, err := io.WriteString(nc, head); err != nil {
		return
	}
	for _, part := range parts {
		select {
		case <-se.stop:
			return
		case <-time.After(pause):
		}
		if _, err := io.WriteString(nc, part); err != nil {
			return
		}
	}
	se.at = time.Now()
}
