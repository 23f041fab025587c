package link

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

// Connect connects to the agent at the address, sends Hello and returns the agent's Welcome.
func Connect(ctx context.Context, di Dialer, address string, he *wire.Hello) (*Conn, *wire.Welcome, error) {
	co, err := Dial(ctx, di, address)
	if err != nil {
		return nil, nil, err
	}
	if err := co.WriteFrame(ctx, &wire.Frame{Hello: he}); err != nil {
		co.ForceClose()
		return nil, nil, err
	}
	first, err := co.ReadFrame(ctx)
	if err != nil || first.Welcome == nil {
		co.ForceClose()
		return nil, nil, errors.Newf("link: %s did not answer Hello with Welcome; is it an agent?", address)
	}
	return co, first.Welcome, nil
}

// Welcome reads the Hello of an entry node and answers it.
func (co *Conn) Welcome(ctx context.Context, we *wire.Welcome) (*wire.Hello, error) {
	first, err := co.ReadFrame(ctx)
	if err != nil {
		return nil, err
	}
	if first.Hello == nil {
		return nil, errors.New("link: the first frame was not Hello; is the peer an entry node?")
	}
	return first.Hello, co.WriteFrame(ctx, &wire.Frame{Welcome: we})
}
