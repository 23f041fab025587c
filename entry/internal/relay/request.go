package relay

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Request is a request that has passed the checks at the entry node's HTTP interface.
type Request struct {
	ID   string
	Team string
	// Adapter and Model are set for a model request, Service for a plain service.
	Adapter     conf.AdapterVersion
	Model       string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Urgency     int
	Weights     conf.Weights
	Region      string
	Deadline    time.Time
	// RetryPercent is the number of retries that 100 requests add to the retry budget.
	RetryPercent int
	// Key, KeyTime and BodyHash are set for a call that must not run twice. Key is the key used
	// in the claim stream, and KeyTime is the time that it contains, in Unix milliseconds.
	Key      string
	KeyTime  int64
	BodyHash string
	// CallerKey is the idempotency key as the caller sent it.
	CallerKey string
}

// routeRequest returns the properties of the request by which a runner is chosen.
func (rq *Request) routeRequest(exclude []string) route.Request {
	return route.Request{
		Adapter: rq.Adapter, Model: rq.Model, Service: rq.Service, Region: rq.Region,
		Weights: rq.Weights, Exclude: exclude,
	}
}

// newDispatch returns the message that asks an agent to run one attempt of the request.
func (rq *Request) newDispatch(attempt, boot string, claimedAt int64, resumeTokens int) *wire.Dispatch {
	return &wire.Dispatch{
		Attempt: attempt, Boot: boot, Request: rq.ID, Team: rq.Team,
		Adapter: rq.Adapter.Adapter, Version: rq.Adapter.Version, Service: rq.Service,
		Method: rq.Method, Path: rq.Path, ContentType: rq.ContentType, Key: rq.CallerKey, Body: rq.Body,
		Stream: rq.Stream, Urgency: rq.Urgency,
		Budget:    max(1, (time.Until(rq.Deadline) - agentDeadlineMargin).Milliseconds()),
		ClaimedAt: claimedAt, ResumeTokens: resumeTokens,
	}
}

// Answer receives the answer to a request and delivers it to the caller.
type Answer interface {
	// Head receives the status and the media type before the first part of the body.
	Head(status int, contentType string) error
	// Part receives the next part of the body. It may block while the caller reads slowly.
	Part(data []byte) error
	// Begun reports whether anything was sent to the caller.
	Begun() bool
	// Resumable reports whether what was sent to the caller is a stream of events that another attempt can go on with
	// after TokensSent tokens.
	Resumable() bool
	// TokensSent returns the number of tokens that were sent to the caller.
	TokensSent() int
	// Reset discards the data that was not sent to the caller yet.
	Reset()
	// Finish sends the remaining data.
	Finish() error
}
