package subset

// group is a service and its candidates that are Ready, in two rankings: those that are
// used, with the one to leave first at the front, and the others, with the one to enter
// first at the front. Any change is a few steps in each.
type group struct {
	listed  int // candidates, whatever they do
	chosen  ranking
	waiting ranking
}

// ranking is a heap of slots.
type ranking struct {
	place place
	slots []slot
}

func (s *Selector) groupOf(c *candidate) *group {
	g := s.groups[c.placement.Service]
	if g == nil {
		g = &group{chosen: ranking{place: inChosen}, waiting: ranking{place: inWaiting}}
		s.groups[c.placement.Service] = g
	}
	return g
}

// enter ranks a candidate that is Ready. The subset may have one more than its size
// until it is fitted.
func (s *Selector) enter(g *group, at slot) {
	if len(g.chosen.slots) > 0 && !s.better(g.chosen.slots[0], at) {
		s.put(&g.chosen, at)
		return
	}
	s.put(&g.waiting, at)
}

// better tells whether a candidate ranks above another. Names decide between equals.
func (s *Selector) better(a, b slot) bool {
	s.work.comparisons++
	x, y := &s.candidates[a], &s.candidates[b]
	if x.rank != y.rank {
		return x.rank > y.rank
	}
	return x.id < y.id
}

// before tells which of two is nearer to the front of a ranking.
func (s *Selector) before(r *ranking, a, b slot) bool {
	if r.place == inChosen {
		return s.better(b, a)
	}
	return s.better(a, b)
}

// put adds a candidate to a ranking.
func (s *Selector) put(r *ranking, at slot) {
	r.slots = append(r.slots, at)
	s.candidates[at].place = r.place
	s.up(r, len(r.slots)-1)
}

// take removes a candidate from the ranking that it is in.
func (s *Selector) take(r *ranking, at slot) {
	hole, last := int(s.candidates[at].heapAt), len(r.slots)-1
	moved := r.slots[last]
	r.slots = r.slots[:last]
	s.candidates[at].place = unranked
	if hole == last {
		return
	}
	s.set(r, hole, moved)
	s.down(r, hole)
	s.up(r, int(s.candidates[moved].heapAt))
}

func (s *Selector) set(r *ranking, n int, at slot) {
	r.slots[n] = at
	s.candidates[at].heapAt = int32(n)
}

// up moves a slot towards the front as far as it belongs.
func (s *Selector) up(r *ranking, n int) {
	at := r.slots[n]
	for n > 0 {
		parent := (n - 1) / 2
		if !s.before(r, at, r.slots[parent]) {
			break
		}
		s.set(r, n, r.slots[parent])
		n = parent
	}
	s.set(r, n, at)
}

// down moves a slot towards the back as far as it belongs.
func (s *Selector) down(r *ranking, n int) {
	at := r.slots[n]
	for {
		child := 2*n + 1
		if child >= len(r.slots) {
			break
		}
		if right := child + 1; right < len(r.slots) && s.before(r, r.slots[right], r.slots[child]) {
			child = right
		}
		if !s.before(r, r.slots[child], at) {
			break
		}
		s.set(r, n, r.slots[child])
		n = child
	}
	s.set(r, n, at)
}
