package broker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// open returns the holding of an answer, which is released at the end of the test.
func open(tb testing.TB, hs *holdings) *holding {
	ho, _ := hs.open(context.Background())
	tb.Cleanup(ho.release)
	return ho
}

// endless is a body without an end, which its context ends.
type endless struct {
	ctx context.Context
}

func (en endless) Read(buf []byte) (int, error) {
	if en.ctx.Err() != nil {
		return 0, context.Cause(en.ctx)
	}
	return copy(buf, "eeee"), nil
}

// Beside answers without an end, which end at their bound or lose their room, whole ones are held.
func TestEndlessAnswersTakeNoRoomFromWholeOnes(t *testing.T) {
	hs, wg := &holdings{}, sync.WaitGroup{}
	for range 30 {
		wg.Go(func() {
			ho, ctx := hs.open(t.Context())
			defer ho.release()
			if data, err := ho.readWhole(endless{ctx}, answerBytesMax); err == nil {
				t.Errorf("an answer without an end is whole with %d bytes", len(data))
			}
		})
	}
	whole := strings.Repeat("w", 200<<10)
	for range 200 {
		wg.Go(func() {
			ho, ctx := hs.open(t.Context())
			defer ho.release()
			data, err := ho.readWhole(io.MultiReader(strings.NewReader(whole[:100<<10]), strings.NewReader(whole[100<<10:])), answerBytesMax)
			if err != nil || string(data) != whole || ctx.Err() != nil {
				t.Errorf("%d bytes, error %v", len(data), err)
			}
		})
	}
	wg.Wait()
	if hs.held != 0 || len(hs.growing) != 0 {
		t.Errorf("%d bytes in %d answers are held at the end", hs.held, len(hs.growing))
	}
}

// Whatever answers grow to, what counts stays within the bound, what has lost its room does not count, and all of it comes back.
func TestHoldingsStayWithinTheirBound(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("bounded", prop.ForAll(func(sizes []int) string {
		hs, list := &holdings{}, make([]*holding, 0, len(sizes))
		for ix, size := range sizes {
			ho, ctx := hs.open(context.Background())
			list = append(list, ho)
			got := ho.grow(size)
			if hs.held > heldBytesMax {
				return fmt.Sprintf("%d bytes are held after %d", hs.held, ix)
			}
			if size <= heldFreeBytes && !got {
				return fmt.Sprintf("a buffer of %d bytes has no room", size)
			}
			if ctx.Err() != nil {
				return "an answer lost its room to itself"
			}
			for _, other := range list[:ix] {
				if other.bytes > 0 && other.ended {
					return "an answer that has lost its room still counts"
				}
			}
		}
		for _, ho := range list {
			ho.release()
		}
		if hs.held != 0 || len(hs.growing) != 0 {
			return fmt.Sprintf("%d bytes are held at the end", hs.held)
		}
		return ""
	}, gen.SliceOf(gen.IntRange(1, answerBytesMax+1))))
	properties.TestingRun(t)
}

// The longest answer gives up its room, unless it has arrived whole.
func TestLongestAnswerGivesUpItsRoom(t *testing.T) {
	hs := &holdings{}
	whole := open(t, hs)
	if data, err := whole.readWhole(bytes.NewReader(make([]byte, answerBytesMax)), answerBytesMax); err != nil || len(data) != answerBytesMax {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	long, ctx := hs.open(t.Context())
	defer long.release()
	if !long.grow(heldBytesMax - answerBytesMax) {
		t.Fatal("no room for a long answer")
	}
	if short := open(t, hs); !short.grow(1<<20) || !errors.Is(context.Cause(ctx), errNotHeld) || long.grow(1<<10) {
		t.Errorf("the longer answer keeps its room: %v", context.Cause(ctx))
	}
	if longer := open(t, hs); longer.grow(heldBytesMax) {
		t.Error("an answer has room that others hold")
	}
}
