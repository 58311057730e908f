package fairqueue

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	testStart = 1000.0 // clock time in seconds
	testTick  = 0.005  // seconds
	noUrgent  = -1     // no key requests urgent turns
)

// newQueue returns a queue with keys 0, 1, ... of weight 1.
func newQueue(config Config, keys int) *Queue[int] {
	queue := New[int](testStart, config)
	for key := range keys {
		queue.Set(testStart, key, 1)
	}
	return queue
}

// runAlwaysDue simulates keys that are always due for some seconds. turnWork is the work of a turn of each key, and urgent is the key that
// requests urgent turns, or noUrgent. It returns the total work of each key.
func runAlwaysDue(queue *Queue[int], turnWork []float64, seconds float64, urgent int) []float64 {
	for now := testStart; now < testStart+seconds; now += testTick {
		for key := range turnWork {
			queue.MarkDue(now, key, key == urgent)
		}
		for {
			key, ok := queue.Next(now)
			if !ok {
				break
			}
			queue.Charge(key, turnWork[key])
			queue.MarkDue(now, key, key == urgent)
		}
	}
	work := make([]float64, len(turnWork))
	for key := range turnWork {
		work[key], _ = queue.Usage(key)
	}
	return work
}

func TestWorkFollowsWeights(t *testing.T) {
	const seconds = 20
	const maxTurnWork = 2e-3
	rapid.Check(t, func(t *rapid.T) {
		queue := New[int](testStart, DefaultConfig)
		keys := rapid.IntRange(2, 8).Draw(t, "keys")
		turnWork := make([]float64, keys)
		weights := make([]float64, keys)
		allWeights := 0.0
		for key := range keys {
			turnWork[key] = rapid.Float64Range(1e-5, maxTurnWork).Draw(t, "turn work")
			weights[key] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			allWeights += weights[key]
			queue.Set(testStart, key, weights[key])
		}
		work := runAlwaysDue(queue, turnWork, seconds, noUrgent)
		total := 0.0
		for _, done := range work {
			total += done
		}
		allowed := DefaultConfig.Rate * seconds
		if total > allowed+DefaultConfig.Burst+maxTurnWork || total < allowed*0.95 {
			t.Fatalf("total work is %.2f s in %d s, want close to a rate of %.2f", total, seconds, DefaultConfig.Rate)
		}
		for key, done := range work {
			share := total * weights[key] / allWeights
			if math.Abs(done-share) > 0.05*share+5e-3 {
				t.Fatalf("key %d of weight %v did %.3f s of the total work of %.3f s, want its share of %.3f s", key, weights[key], done, total, share)
			}
		}
	})
}

// A key with little work gets its turn at once, regardless of the work of others.
func TestLightKeyDoesNotWait(t *testing.T) {
	const heavyKeys = 20
	const light = heavyKeys
	queue := newQueue(DefaultConfig, heavyKeys+1)
	longestWait := 0.0
	dueSince := 0.0 // 0: the light key is not due
	for now := testStart; now < testStart+20; now += testTick {
		for key := range heavyKeys {
			queue.MarkDue(now, key, false)
		}
		if int(now*1000)%250 < 5 && dueSince == 0 {
			queue.MarkDue(now, light, false)
			dueSince = now
		}
		for {
			key, ok := queue.Next(now)
			if !ok {
				break
			}
			if key == light {
				longestWait = max(longestWait, now-dueSince)
				dueSince = 0
				queue.Charge(key, 1e-4)
				continue
			}
			queue.Charge(key, 2e-3)
			queue.MarkDue(now, key, false)
		}
	}
	if longestWait > 0.011 {
		t.Errorf("longest wait of the light key is %.3f s, want at most 0.011 s", longestWait)
	}
}

// Urgent turns go first, but a tenant whose turns are all urgent does not exceed its share of urgent work.
func TestUrgentWorkIsBounded(t *testing.T) {
	const keys = 10
	const urgent = 3
	work := runAlwaysDue(newQueue(DefaultConfig, keys), slices.Repeat([]float64{1e-3}, keys), 20, urgent)
	limit := 20*DefaultConfig.Rate/keys + 22*DefaultConfig.UrgentRate
	if work[urgent] > limit {
		t.Errorf("work of the urgent key is %.2f s, want at most %.2f s", work[urgent], limit)
	}
}

func TestUrgentTurnWithoutBudget(t *testing.T) {
	queue := newQueue(DefaultConfig, 3)
	queue.Charge(1, DefaultConfig.Burst)
	queue.MarkDue(testStart, 1, false)
	queue.MarkDue(testStart, 2, true)
	if key, ok := queue.Next(testStart); !ok || key != 2 {
		t.Errorf("Next returns key %v, %v; want the urgent key 2, true", key, ok)
	}
	queue.Charge(2, 1e-3)
	if key, ok := queue.Next(testStart); ok {
		t.Errorf("key %v has a turn although the budget is used up", key)
	}
}

func TestScheduleAndRemove(t *testing.T) {
	queue := New[string](testStart, DefaultConfig)
	queue.Set(testStart, "a", 1)
	queue.ScheduleAt("a", testStart+0.5)
	queue.ScheduleAt("unknown", testStart+0.1)
	if _, ok := queue.Next(testStart + 0.4); ok {
		t.Error("a key has a turn before it is due")
	}
	if key, ok := queue.Next(testStart + 0.51); !ok || key != "a" {
		t.Error("the key has no turn at its scheduled time")
	}
	queue.Charge("a", 0)
	queue.MarkDue(testStart+1, "a", false)
	queue.Remove("a")
	if key, ok := queue.Next(testStart + 2); ok || queue.Len() != 0 {
		t.Errorf("key %q has a turn, or is still counted, after it was removed", key)
	}
}

// fifoComparison simulates heavy keys that are always due and light keys that become due 20 ms after their last turn, scheduled either by
// the queue or in FIFO order. Simulated time advances by the work of the turns.
type fifoComparison struct {
	queue *Queue[int]
	fifo  []int
	due   map[int]float64 // clock time in seconds at which a light key becomes or became due
}

const (
	comparedHeavyKeys = 10
	comparedKeys      = 20
	heavyWork         = 5e-3 // seconds per turn
	lightWork         = 1e-4 // seconds per turn
	lightInterval     = 0.02 // seconds from a light key's turn until it is due again
)

func newFIFOComparison() *fifoComparison {
	config := DefaultConfig
	config.Rate = 1
	config.Burst = 0.01
	return &fifoComparison{queue: newQueue(config, comparedKeys), due: map[int]float64{}}
}

func (c *fifoComparison) markDue(now float64, key int) {
	if !slices.Contains(c.fifo, key) {
		c.fifo = append(c.fifo, key)
	}
	c.queue.MarkDue(now, key, false)
}

func (c *fifoComparison) markAllDue(now float64) {
	for key := range comparedKeys {
		switch {
		case key < comparedHeavyKeys:
			c.markDue(now, key)
		case now >= c.due[key] && !slices.Contains(c.fifo, key):
			c.due[key] = now
			c.markDue(now, key)
		}
	}
}

// longestLightWait simulates ten seconds and returns the longest wait of a light key after the first second. If fair is false, keys are
// served in FIFO order.
func (c *fifoComparison) longestLightWait(fair bool) float64 {
	longest := 0.0
	now := testStart
	for now < testStart+10 {
		c.markAllDue(now)
		key := c.fifo[0]
		if fair {
			next, ok := c.queue.Next(now)
			if !ok {
				now += 1e-4
				continue
			}
			key = next
		}
		position := slices.Index(c.fifo, key)
		c.fifo = slices.Delete(c.fifo, position, position+1)
		work := heavyWork
		if key >= comparedHeavyKeys {
			work = lightWork
			if now > testStart+1 {
				longest = max(longest, now-c.due[key])
			}
			c.due[key] = now + lightInterval
		}
		c.queue.Charge(key, work)
		now += work
	}
	return longest
}

func TestLightKeysWaitLessThanInFIFO(t *testing.T) {
	fifo := newFIFOComparison().longestLightWait(false)
	fair := newFIFOComparison().longestLightWait(true)
	t.Logf("longest wait of a light key: %.1f ms, in FIFO order %.1f ms", fair*1000, fifo*1000)
	if fair > fifo/3 {
		t.Errorf("longest wait of a light key is %.1f ms, want at most a third of the %.1f ms in FIFO order", fair*1000, fifo*1000)
	}
}

// linearQueue finds the least start tag by a linear scan of all keys. It is the baseline of the benchmark.
type linearQueue struct {
	due      []bool
	startTag []float64
}

func (q *linearQueue) next() int {
	best := -1
	for key, due := range q.due {
		if due && (best < 0 || q.startTag[key] < q.startTag[best]) {
			best = key
		}
	}
	return best
}

func BenchmarkTurn(b *testing.B) {
	for _, keys := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("heap-%d", keys), func(b *testing.B) {
			config := DefaultConfig
			config.Rate = 1e9
			config.Burst = 1e9
			queue := newQueue(config, keys)
			for key := range keys {
				queue.MarkDue(testStart, key, false)
			}
			for b.Loop() {
				key, _ := queue.Next(testStart)
				queue.Charge(key, 1e-5)
				queue.MarkDue(testStart, key, false)
			}
		})
		b.Run(fmt.Sprintf("scan-%d", keys), func(b *testing.B) {
			queue := &linearQueue{due: slices.Repeat([]bool{true}, keys), startTag: make([]float64, keys)}
			for b.Loop() {
				queue.startTag[queue.next()] += 1e-5
			}
		})
	}
}
