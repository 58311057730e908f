package simnet

// event is a function that is scheduled for a clock time.
type event struct {
	at       float64 // seconds
	sequence uint64  // orders events with the same time
	do       func()
}

// eventQueue implements heap.Interface. It orders events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last].do = nil // allows the function to be garbage-collected
	*q = (*q)[:last]
	return popped
}
