package membership

// sync compares views with a random present member, preferably one whose digest differs.
func (n *Node) sync() {
	target := n.some(func(m *member) bool { return m.Present() && m.digest != n.digest })
	if target < 0 {
		target = n.some(func(m *member) bool { return m.Present() })
	}
	if target >= 0 {
		n.compare(target)
	}
}

// compare sends a member checksums of this node's view: all of them, or in a large fleet
// the next ones that fit into a datagram.
func (n *Node) compare(target int) {
	n.compared = n.now
	d := datagram{kind: sums, about: n.page}
	for len(d.sums) < mostSums && n.page < n.c.Members {
		d.sums = append(d.sums, n.sum(n.page))
		n.page += mostCarry
	}
	if n.page >= n.c.Members {
		n.page = 0
	}
	n.sendBare(target, d, nil)
}

// sum returns the checksum of mostCarry consecutive members.
func (n *Node) sum(first int) uint32 {
	var h uint64
	for i := first; i < min(first+mostCarry, n.c.Members); i++ {
		h ^= n.hash(n.members[i].Member)
	}
	return uint32(h)
}

// partOf returns the entries of mostCarry consecutive members.
func (n *Node) partOf(first int) (some []entry) {
	for i := first; i < min(first+mostCarry, n.c.Members); i++ {
		if n.members[i].State != Unknown {
			some = append(some, n.entryOf(i))
		}
	}
	return some
}

// hash returns a member's part of the digest; 0 if it is not present.
func (n *Node) hash(m Member) uint64 {
	if !m.Present() {
		return 0
	}
	h := uint64(m.Number)<<48 ^ uint64(m.Start) ^ 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
