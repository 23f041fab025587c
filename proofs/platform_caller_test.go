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
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bambooladder/bambooladder/platform/terms"
)

const (
	streamDeadline = 6 * time.Second
	callDeadline   = 3 * time.Second
	// lateMax is how much longer than its deadline a caller waits on a busy machine until that is a problem.
	lateMax = 5 * time.Second
	// callerPause is the time between two sendings of a caller.
	callerPause = 50 * time.Millisecond
	// streamEventsMin and streamEventsMax bound the number of events of a stream.
	streamEventsMin, streamEventsMax = 5, 40
	siteAdapters                     = 6
	sitePromptTokens                 = 500
)

// platformCaller sends streams and calls over connections that it keeps.
type platformCaller struct {
	so      *platformSoak
	name    string
	rd      *rand.Rand
	clients map[int]*http.Client
	// sent is the number of requests sent.
	sent int
}

// newPlatformCaller returns the caller of a number.
func newPlatformCaller(so *platformSoak, number int) *platformCaller {
	ca := &platformCaller{so: so, name: fmt.Sprintf("c%d", number), rd: rand.New(rand.NewPCG(so.seed, uint64(number))), clients: map[int]*http.Client{}}
	for entry := range so.entries {
		ca.clients[entry] = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}}
	}
	return ca
}

// run sends requests until the context ends.
func (ca *platformCaller) run(ctx context.Context) {
	defer ca.close()
	for number := 0; ctx.Err() == nil; number++ {
		body := fmt.Sprintf("%s-%d", ca.name, number)
		if ca.rd.IntN(platformCallShare) == 0 {
			ca.call(body)
		} else {
			ca.stream(body)
		}
	}
}

// close closes all connections.
func (ca *platformCaller) close() {
	for _, cl := range ca.clients {
		cl.CloseIdleConnections()
	}
}

// siteRequest is what a caller sends.
type siteRequest struct {
	id, path, body, adapter, resumes string
	events, last                     int
	deadline                         time.Duration
}

// siteReply is what a caller got of a request.
type siteReply struct {
	id     string
	status int
	// body is that of an answer which is no stream.
	body string
	// took is how long the request took.
	took time.Duration
	// whole is true if the answer ended as it should.
	whole bool
	err   error
}

// exchange sends a request to an entry node. What takes the lines of the answer is nil unless it is a stream.
func (ca *platformCaller) exchange(sq *siteRequest, entry int, take func(rd *bufio.Reader) error) siteReply {
	node := ca.so.entries[entry]
	ctx, cancel := context.WithTimeout(context.Background(), sq.deadline+lateMax)
	defer cancel()
	start := time.Now()
	re := siteReply{id: sq.id}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ca.so.address(node.host, sitePortFront)+sq.path, strings.NewReader(sq.body))
	if err != nil {
		re.err = err
		return re
	}
	sq.setHeaders(rq)
	re.read(ca.clients[entry], rq, take)
	re.took = time.Since(start)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !node.wasDisturbed(start, time.Now()) {
		ca.so.problem("%s waits for %s at %s, %s beyond the deadline", sq.id, re.took, node.name, lateMax)
	}
	return re
}

// setHeaders sets the headers of a request. Without GetBody, the library does not send it again on its own.
func (sq *siteRequest) setHeaders(rq *http.Request) {
	rq.GetBody = nil
	rq.Host = siteHost
	rq.Header.Set(terms.RequestID, sq.id)
	rq.Header.Set(terms.DeadlineMs, strconv.FormatInt(sq.deadline.Milliseconds(), 10))
	if sq.adapter != "" {
		rq.Header.Set(terms.Model, siteModel+"/"+sq.adapter)
		rq.Header.Set(terms.TokenCount, fmt.Sprintf("%d,%d", sitePromptTokens, sq.events))
	}
	if sq.last > 0 {
		rq.Header.Set(terms.LastEventID, strconv.Itoa(sq.last))
		rq.Header.Set("Resumes", sq.resumes)
	}
}

// read sends a request and reads its answer.
func (re *siteReply) read(cl *http.Client, rq *http.Request, take func(rd *bufio.Reader) error) {
	resp, err := cl.Do(rq)
	if err != nil {
		re.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	re.status = resp.StatusCode
	if take != nil && re.status == http.StatusOK {
		re.err = take(bufio.NewReader(resp.Body))
	} else {
		data, err := io.ReadAll(resp.Body)
		re.body, re.err = string(data), err
	}
	re.whole = re.err == nil
}

// promised reports whether the answer says that the request has not run and never will.
func (re *siteReply) promised() bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}, re.status)
}

// streamResult is what a caller got of a stream, over all requests for it.
type streamResult struct {
	body string
	// events is the number of events that the stream has.
	events int
	// numbers holds the events that came, software the software versions of them, and bodies what they answer.
	numbers          []int
	software, bodies []string
	replies          []siteReply
	// whole is true if the last answer ended as it should.
	whole bool
}

// request returns the request for the events after the last one that came.
func (sr *streamResult) request(id string, first int, adapter string, deadline time.Duration) *siteRequest {
	sq := &siteRequest{id: id, path: siteStreamPath, body: sr.body, adapter: adapter, events: sr.events, deadline: deadline}
	if len(sr.numbers) > 0 {
		sq.last, sq.resumes = sr.numbers[len(sr.numbers)-1], sr.replies[first].id
	}
	return sq
}

// take reads the events of an answer.
func (sr *streamResult) take(rd *bufio.Reader) error {
	number := 0
	for {
		line, err := rd.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			sr.whole = true
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		if text, found := strings.CutPrefix(line, "id: "); found {
			number, _ = strconv.Atoi(text)
		}
		if text, found := strings.CutPrefix(line, "data: "); found {
			software, body, _ := strings.Cut(text, " ")
			sr.numbers, sr.software, sr.bodies = append(sr.numbers, number), append(sr.software, software), append(sr.bodies, body)
		}
	}
}

// problem returns what is wrong with the events, empty for nothing.
func (sr *streamResult) problem() string {
	for ix, number := range sr.numbers {
		if number != ix+1 {
			return fmt.Sprintf("event %d comes in place %d", number, ix+1)
		}
		if sr.software[ix] != sr.software[0] {
			return fmt.Sprintf("event %d is from the software version %s, the first from %s", number, sr.software[ix], sr.software[0])
		}
		if sr.bodies[ix] != sr.body {
			return fmt.Sprintf("event %d answers %s", number, sr.bodies[ix])
		}
	}
	if sr.whole && len(sr.numbers) != sr.events {
		return fmt.Sprintf("it looks whole with %d events of %d", len(sr.numbers), sr.events)
	}
	return ""
}

// stream asks for a stream, and takes it up at another entry node after a break, until it is whole or its time is over.
func (ca *platformCaller) stream(body string) {
	sr := &streamResult{body: body, events: streamEventsMin + ca.rd.IntN(streamEventsMax-streamEventsMin+1)}
	adapter := fmt.Sprintf("a%d", 1+ca.rd.IntN(siteAdapters))
	end := time.Now().Add(streamDeadline)
	entry, first := ca.rd.IntN(len(ca.clients)), -1
	for {
		left := time.Until(end)
		if left < callerPause || sr.whole {
			break
		}
		before := len(sr.numbers)
		re := ca.exchange(sr.request(ca.id(), first, adapter, left), entry, sr.take)
		sr.replies = append(sr.replies, re)
		if before == 0 && len(sr.numbers) > 0 {
			first = len(sr.replies) - 1
		}
		entry = (entry + 1 + ca.rd.IntN(len(ca.clients)-1)) % len(ca.clients)
		time.Sleep(callerPause)
	}
	ca.so.mu.Lock()
	defer ca.so.mu.Unlock()
	ca.so.streams = append(ca.so.streams, sr)
}

// id returns the ID of the next request.
func (ca *platformCaller) id() string {
	ca.sent++
	return fmt.Sprintf("%s.%d", ca.name, ca.sent)
}

// callResult is what a caller got of a call, over all requests for it.
type callResult struct {
	body    string
	replies []siteReply
}

// request returns a request for the call.
func (cr *callResult) request(id string, deadline time.Duration) *siteRequest {
	return &siteRequest{id: id, path: siteCallPath, body: cr.body, deadline: deadline}
}

// call sends a call that must not run twice, and sends it again only after a promise that it has not run.
func (ca *platformCaller) call(body string) {
	cr := &callResult{body: body}
	end := time.Now().Add(callDeadline)
	for entry := ca.rd.IntN(len(ca.clients)); ; entry = ca.rd.IntN(len(ca.clients)) {
		left := time.Until(end)
		if left < callerPause {
			break
		}
		re := ca.exchange(cr.request(ca.id(), left), entry, nil)
		cr.replies = append(cr.replies, re)
		time.Sleep(callerPause)
		if !re.promised() {
			break
		}
	}
	ca.so.mu.Lock()
	defer ca.so.mu.Unlock()
	ca.so.calls = append(ca.so.calls, cr)
}

// check compares what callers got with what servers ran.
func (so *platformSoak) check() {
	requests, bodies := map[string]int{}, map[string]int{}
	for _, ru := range so.runs.All() {
		requests[ru.Request]++
		bodies[ru.Body]++
	}
	for _, cr := range so.calls {
		if bodies[cr.body] > 1 {
			so.problem("the call %s ran %d times", cr.body, bodies[cr.body])
		}
		for _, re := range cr.replies {
			so.checkPromise(re, requests)
			if re.status == http.StatusOK && re.whole && (requests[re.id] != 1 || re.body != "done "+cr.body+"\n") {
				so.problem("the call %s is answered with %q and ran %d times", re.id, re.body, requests[re.id])
			}
		}
	}
	for _, sr := range so.streams {
		if text := sr.problem(); text != "" {
			so.problem("the stream %s: %s; requests %s", sr.body, text, formatReplies(sr.replies))
		}
		for _, re := range sr.replies {
			so.checkPromise(re, requests)
		}
	}
}

// checkPromise records a problem if a request has run that was answered with a promise that it never will.
func (so *platformSoak) checkPromise(re siteReply, requests map[string]int) {
	if re.promised() && requests[re.id] > 0 {
		so.problem("%s got the status %d and ran %d times", re.id, re.status, requests[re.id])
	}
}

// formatReplies formats what a caller got.
func formatReplies(replies []siteReply) string {
	list := make([]string, 0, len(replies))
	for _, re := range replies {
		list = append(list, fmt.Sprintf("%s: %d, whole %t, %s, %v", re.id, re.status, re.whole, re.took.Round(time.Millisecond), re.err))
	}
	return strings.Join(list, "; ")
}
