package origin

import (
	"reflect"
	"testing"
	"time"
)

func TestGroupsHoldWhatRoutesLeadToAndLedToLately(t *testing.T) {
	start := time.Unix(1000, 0)
	gr := Groups{}.WithRoutes([][]string{{"one", "two"}}, nil, start)
	gr = gr.WithRoutes([][]string{{"three", "two"}}, [][]string{{"four", "two"}}, start.Add(time.Minute))
	for _, tc := range []struct {
		service string
		after   time.Duration
		want    []string
	}{
		{"one", time.Minute, []string{"four", "one", "two"}},
		{"two", time.Minute, []string{"four", "one", "three", "two"}},
		{"other", time.Minute, []string{"other"}},
		{"two", time.Minute + RetentionMax, []string{"three", "two"}},
		{"one", time.Minute + RetentionMax, []string{"one"}},
	} {
		if got := gr.Of(tc.service, start.Add(tc.after)); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s after %v: %v, want %v", tc.service, tc.after, got, tc.want)
		}
	}
}
