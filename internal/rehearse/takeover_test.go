package rehearse

import "testing"

func TestTakeoverDebug(t *testing.T) {
	r, text := play1(t, badDay(t, string(BadDay)), Options{Coordinators: 3})
	t.Logf("%s\n%+v", text, r.Counts)
}
