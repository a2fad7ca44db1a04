package gateway

import (
	"container/heap"

	"dunlintray/rules"
)

// timer is a timer of the decision module, or the timeout of an attempt, a counter call or a body.
type timer struct {
	at      float64         // seconds on the loop's clock
	token   uint64          // of the decision module
	request rules.RequestID // 0: belongs to no request
	attempt *attempt
	call    *counterCall
	body    *exchange // whose body is arriving
	index   int       // position in the heap; -1 if it is not set
}

// timerQueue holds the timers that are set. A timer is removed with the request, attempt or call
// that it belongs to: it would keep that in memory until its time, which a client may choose.
// The zero value is an empty queue.
type timerQueue struct{ heap timerHeap }

// add sets a timer.
func (q *timerQueue) add(timer *timer) { heap.Push(&q.heap, timer) }

// remove ends timers. Nil timers and those that are not set are ignored.
func (q *timerQueue) remove(timers ...*timer) {
	for _, timer := range timers {
		if timer != nil && timer.index >= 0 {
			heap.Remove(&q.heap, timer.index)
		}
	}
}

// next returns the time of the earliest timer. ok is false if no timer is set.
func (q *timerQueue) next() (at float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// popDue removes the earliest timer and returns it if its time has come, and nil otherwise.
func (q *timerQueue) popDue(now float64) *timer {
	if at, ok := q.next(); !ok || at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// timerHeap is a heap.Interface with the earliest timer first.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(added any) {
	timer := added.(*timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.index = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
