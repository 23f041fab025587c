package relay

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Request is an admitted request.
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
	// RetryPercent is the share of requests that may be retried.
	RetryPercent int
	// Key, KeyTime and BodyHash are set for a call that must not be repeated.
	Key      string
	KeyTime  int64
	BodyHash string
	// BareKey is the key as the caller sent it.
	BareKey string
}

// routing returns what routing needs to know of the request.
func (rq *Request) routing(exclude []string) route.Request {
	return route.Request{
		Adapter: rq.Adapter, Model: rq.Model, Service: rq.Service, Region: rq.Region,
		Weights: rq.Weights, Exclude: exclude,
	}
}

// dispatch returns the message that asks a runner for one attempt.
func (rq *Request) dispatch(attempt, boot string, claimedAt int64, resume int) *wire.Dispatch {
	return &wire.Dispatch{
		Attempt: attempt, Boot: boot, Request: rq.ID, Team: rq.Team,
		Adapter: rq.Adapter.Adapter, Version: rq.Adapter.Version, Service: rq.Service,
		Method: rq.Method, Path: rq.Path, ContentType: rq.ContentType, Key: rq.BareKey, Body: rq.Body,
		Stream: rq.Stream, Urgency: rq.Urgency,
		Budget:    max(1, (time.Until(rq.Deadline) - answerMargin).Milliseconds()),
		ClaimedAt: claimedAt, ResumeTokens: resume,
	}
}

// Answer takes the parts of an answer in their order.
type Answer interface {
	// Head takes the status before the first part.
	Head(status int, contentType string) error
	// Part takes a part; it may wait for a slow caller.
	Part(data []byte) error
	// Begun tells whether the caller has been sent anything.
	Begun() bool
	// Tokens counts the tokens the caller has been sent.
	Tokens() int
	// Reset drops what the caller has not been sent.
	Reset()
	// Finish sends what is left.
	Finish() error
}
