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

// open returns the buffer of an answer, which is released at the end of the test.
func open(tb testing.TB, ab *answerBudget) *answerBuffer {
	bu, _ := ab.open(context.Background())
	tb.Cleanup(bu.release)
	return bu
}

// endless is an endless body, which fails once its context is canceled.
type endless struct {
	ctx context.Context
}

func (en endless) Read(buf []byte) (int, error) {
	if en.ctx.Err() != nil {
		return 0, context.Cause(en.ctx)
	}
	return copy(buf, "eeee"), nil
}

// Whole answers arrive beside endless ones, which reach their limit or are evicted.
func TestEndlessAnswersDoNotEvictWholeOnes(t *testing.T) {
	ab, wg := &answerBudget{}, sync.WaitGroup{}
	for range 30 {
		wg.Go(func() {
			bu, ctx := ab.open(t.Context())
			defer bu.release()
			if data, err := bu.readWhole(endless{ctx}, answerBytesMax); err == nil {
				t.Errorf("an endless answer is whole with %d bytes", len(data))
			}
		})
	}
	whole := strings.Repeat("w", 200<<10)
	for range 200 {
		wg.Go(func() {
			bu, ctx := ab.open(t.Context())
			defer bu.release()
			data, err := bu.readWhole(io.MultiReader(strings.NewReader(whole[:100<<10]), strings.NewReader(whole[100<<10:])), answerBytesMax)
			if err != nil || string(data) != whole || ctx.Err() != nil {
				t.Errorf("%d bytes, error %v", len(data), err)
			}
		})
	}
	wg.Wait()
	if ab.used != 0 || len(ab.receiving) != 0 {
		t.Errorf("%d bytes in %d answers are held at the end", ab.used, len(ab.receiving))
	}
}

// Whatever the buffers grow to, the memory in use stays within the budget and is returned, and small buffers always fit.
func TestAnswerBudgetIsKept(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("bounded", prop.ForAll(func(sizes []int) string {
		ab, list := &answerBudget{}, make([]*answerBuffer, 0, len(sizes))
		for ix, size := range sizes {
			bu, ctx := ab.open(context.Background())
			list = append(list, bu)
			got := bu.grow(size)
			if ab.used > budgetBytes {
				return fmt.Sprintf("%d bytes are held after %d", ab.used, ix)
			}
			if size <= freeBytes && !got {
				return fmt.Sprintf("a buffer of %d bytes does not fit", size)
			}
			if ctx.Err() != nil {
				return "an answer was evicted by itself"
			}
			for _, other := range list[:ix] {
				if other.bytes > 0 && other.evicted {
					return "an evicted buffer still counts"
				}
			}
		}
		for _, bu := range list {
			bu.release()
		}
		if ab.used != 0 || len(ab.receiving) != 0 {
			return fmt.Sprintf("%d bytes are held at the end", ab.used)
		}
		return ""
	}, gen.SliceOf(gen.IntRange(1, answerBytesMax+1))))
	properties.TestingRun(t)
}

// The largest buffer is evicted, unless its answer has arrived whole.
func TestLargestBufferIsEvicted(t *testing.T) {
	ab := &answerBudget{}
	whole := open(t, ab)
	if data, err := whole.readWhole(bytes.NewReader(make([]byte, answerBytesMax)), answerBytesMax); err != nil || len(data) != answerBytesMax {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	long, ctx := ab.open(t.Context())
	defer long.release()
	if !long.grow(budgetBytes - answerBytesMax) {
		t.Fatal("a long answer does not fit")
	}
	if short := open(t, ab); !short.grow(1<<20) || !errors.Is(context.Cause(ctx), errOverBudget) || long.grow(1<<10) {
		t.Errorf("the larger buffer is not evicted: %v", context.Cause(ctx))
	}
	if longer := open(t, ab); longer.grow(budgetBytes) {
		t.Error("a buffer fits that needs the memory of whole answers")
	}
}
