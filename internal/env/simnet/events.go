package simnet

// event is a function that runs at a clock time.
type event struct {
	at       float64 // seconds
	sequence uint64  // orders events of the same time
	do       func()
}

// eventQueue is a heap.Interface of events by time.
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
	(*q)[last].do = nil // lets the function be collected
	*q = (*q)[:last]
	return popped
}
