package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bambooladder/bambooladder/core/record"
)

// BenchmarkTable measures the memory per key and the time to apply a claim, for tables of
// several sizes.
func BenchmarkTable(b *testing.B) {
	for _, keys := range []int{12_500, 25_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for range b.N {
				heapBefore := heapInUse()
				ta := &Table{}
				for ix := range keys {
					key := Key("team", "ledger", keyAt(1_000_000+int64(ix), byte(ix)))
					ta.Apply(encode(b, int64(ix), 1_000_000+int64(ix), record.Envelope{Claim: &record.Claim{
						Key: key, Attempt: fmt.Sprint("01a23e12-1bae-7ed2-9e73-", ix), Entry: "entry-1", Runner: "ledger-1",
						Boot: "ledger-1-01a23e12-1bae-7ed2-9e73-a94cf8d11453", BodyHash: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
					}}))
				}
				b.ReportMetric(float64(heapInUse()-heapBefore)/float64(ta.Size()), "B/key")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/claim")
		})
	}
}

// heapInUse returns the size of the live heap in bytes, after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
