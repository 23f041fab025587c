package caller

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever the answers, their buffers stay within the limit, short answers always fit, and all memory is returned.
func TestBuffersStayWithinTheirBound(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("bounded", prop.ForAll(func(parts []int) string {
		all, list, counted := &buffers{}, make([]*buffer, 0), 0
		for ix, size := range parts {
			if ix%3 == 0 {
				list = append(list, &buffer{all: all})
			}
			bu := list[len(list)-1]
			before := len(bu.data)
			added := bu.add(bytes.Repeat([]byte{byte(ix)}, size))
			switch {
			case added != (len(bu.data) == before+size):
				return "a part was added in part"
			case !added && 2*(before+size) <= freeBufferBytes:
				return fmt.Sprintf("an answer of %d bytes does not fit", before+size)
			case all.used > maxAllBufferedBytes:
				return fmt.Sprintf("%d bytes are buffered", all.used)
			}
		}
		for _, bu := range list {
			counted += max(0, cap(bu.data)-freeBufferBytes)
		}
		if counted != all.used {
			return fmt.Sprintf("%d bytes count, want %d", all.used, counted)
		}
		for _, bu := range list {
			bu.reset()
		}
		if all.used != 0 {
			return fmt.Sprintf("%d bytes count at the end", all.used)
		}
		return ""
	}, gen.SliceOfN(200, gen.IntRange(0, maxBufferedBytes))))
	properties.TestingRun(t)
}
