package subset

// serviceGroup holds the Ready candidates of a service in two heaps: the chosen ones, with the first one to
// leave at the front, and the others, with the first one to enter at the front. Each change costs
// logarithmic time.
type serviceGroup struct {
	listed  int // candidates, Ready or not
	chosen  slotHeap
	waiting slotHeap
}

// slotHeap is a binary heap of slots, ordered by closerToFront.
type slotHeap struct {
	kind  rankingKind
	slots []slot
}

// groupOf returns the group of the candidate's service and creates it if necessary.
func (s *Selector) groupOf(candidate *candidateState) *serviceGroup {
	group := s.groups[candidate.placement.Service]
	if group == nil {
		group = &serviceGroup{chosen: slotHeap{kind: inChosen}, waiting: slotHeap{kind: inWaiting}}
		s.groups[candidate.placement.Service] = group
	}
	return group
}

// rankReady adds a Ready candidate to a heap. The subset may have one instance too many until fit is
// called.
func (s *Selector) rankReady(group *serviceGroup, at slot) {
	if len(group.chosen.slots) > 0 && !s.ranksAbove(group.chosen.slots[0], at) {
		s.push(&group.chosen, at)
		return
	}
	s.push(&group.waiting, at)
}

// ranksAbove reports whether a ranks above b. Names decide between equal ranks.
func (s *Selector) ranksAbove(a, b slot) bool {
	s.work.comparisons++
	first, second := &s.candidates[a], &s.candidates[b]
	if first.rank != second.rank {
		return first.rank > second.rank
	}
	return first.id < second.id
}

// closerToFront reports whether a belongs closer to the front of the heap than b.
func (s *Selector) closerToFront(ranking *slotHeap, a, b slot) bool {
	if ranking.kind == inChosen {
		return s.ranksAbove(b, a)
	}
	return s.ranksAbove(a, b)
}

// push adds a candidate to a heap.
func (s *Selector) push(ranking *slotHeap, at slot) {
	ranking.slots = append(ranking.slots, at)
	s.candidates[at].rankedIn = ranking.kind
	s.siftUp(ranking, len(ranking.slots)-1)
}

// removeFromRanking removes a candidate from the heap that it is in.
func (s *Selector) removeFromRanking(ranking *slotHeap, at slot) {
	index, last := int(s.candidates[at].heapIndex), len(ranking.slots)-1
	moved := ranking.slots[last]
	ranking.slots = ranking.slots[:last]
	s.candidates[at].rankedIn = unranked
	if index == last {
		return
	}
	s.setSlot(ranking, index, moved)
	s.siftDown(ranking, index)
	s.siftUp(ranking, int(s.candidates[moved].heapIndex))
}

// setSlot stores a slot at an index of the heap.
func (s *Selector) setSlot(ranking *slotHeap, index int, at slot) {
	ranking.slots[index] = at
	s.candidates[at].heapIndex = int32(index)
}

// siftUp moves the slot at an index towards the front as far as the order requires.
func (s *Selector) siftUp(ranking *slotHeap, index int) {
	at := ranking.slots[index]
	for index > 0 {
		parent := (index - 1) / 2
		if !s.closerToFront(ranking, at, ranking.slots[parent]) {
			break
		}
		s.setSlot(ranking, index, ranking.slots[parent])
		index = parent
	}
	s.setSlot(ranking, index, at)
}

// siftDown moves the slot at an index towards the back as far as the order requires.
func (s *Selector) siftDown(ranking *slotHeap, index int) {
	at := ranking.slots[index]
	for {
		child := 2*index + 1
		if child >= len(ranking.slots) {
			break
		}
		if right := child + 1; right < len(ranking.slots) && s.closerToFront(ranking, ranking.slots[right], ranking.slots[child]) {
			child = right
		}
		if !s.closerToFront(ranking, ranking.slots[child], at) {
			break
		}
		s.setSlot(ranking, index, ranking.slots[child])
		index = child
	}
	s.setSlot(ranking, index, at)
}
