package membership

// sync compares views with a random present member, preferably one whose digest differs.
func (n *Node) sync() {
	target := n.randomMember(func(m *member) bool { return m.Present() && m.digest != n.digest })
	if target < 0 {
		target = n.randomMember(func(m *member) bool { return m.Present() })
	}
	if target >= 0 {
		n.sendSums(target)
	}
}

// sendSums sends a member checksums of this node's view: all of them, or in a large fleet the
// next ones that fit into a datagram.
func (n *Node) sendSums(target int) {
	n.comparedAt = n.now
	d := datagram{kind: viewSums, subject: n.nextSumMember}
	for len(d.sums) < maxSums && n.nextSumMember < n.config.Members {
		d.sums = append(d.sums, n.checksum(n.nextSumMember))
		n.nextSumMember += maxEntries
	}
	if n.nextSumMember >= n.config.Members {
		n.nextSumMember = 0
	}
	n.sendEntries(target, d, nil)
}

// checksum returns the checksum of up to maxEntries consecutive members.
func (n *Node) checksum(first int) uint32 {
	var sum uint64
	for i := first; i < min(first+maxEntries, n.config.Members); i++ {
		sum ^= n.memberHash(n.members[i].Member)
	}
	return uint32(sum)
}

// partEntries returns the entries of up to maxEntries consecutive members.
func (n *Node) partEntries(first int) (entries []entry) {
	for i := first; i < min(first+maxEntries, n.config.Members); i++ {
		if n.members[i].State != Unknown {
			entries = append(entries, n.entryOf(i))
		}
	}
	return entries
}

// memberHash returns a member's contribution to the digest, which is 0 if it is not present.
func (n *Node) memberHash(m Member) uint64 {
	if !m.Present() {
		return 0
	}
	hash := uint64(m.Number)<<48 ^ uint64(m.Start) ^ 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
