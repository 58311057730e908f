package audit

import "testing"

func TestLogKeepsTheLatestEntries(t *testing.T) {
	var log Log
	for i := range maxEntries + 5 {
		log.Record(Entry{At: float64(i)})
	}
	if len(log.entries) > maxEntries {
		t.Errorf("the log holds %d entries, more than the maximum", len(log.entries))
	}
	latest := log.Latest(3)
	if len(latest) != 3 || latest[0].At != maxEntries+4 || latest[2].At != maxEntries+2 {
		t.Errorf("unexpected latest entries: %+v", latest)
	}
}
