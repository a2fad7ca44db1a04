package membership

import (
	"slices"
	"time"
)

// Receive processes a datagram that arrived from the address of the member with number from. It
// drops datagrams beyond MaxReceiveRate, and malformed ones.
func (n *Node) Receive(now time.Duration, from int, data []byte) Actions {
	n.now = now
	n.tokens = min(n.config.MaxReceiveRate, n.tokens+n.config.MaxReceiveRate*(now-n.tokensAt).Seconds())
	n.tokensAt = now
	if from < 0 || from >= len(n.members) || n.tokens < 1 {
		n.stats.Dropped++
		return n.takeActions()
	}
	// Each sender has its own token bucket, so that a flood by one does not displace the others.
	bucket := &n.members[from]
	senderRate := max(2, n.config.MaxReceiveRate/senderRateDivisor)
	bucket.tokens = min(senderRate, bucket.tokens+senderRate*(now-bucket.tokensAt).Seconds())
	if bucket.tokensAt = now; bucket.tokens < 1 {
		n.stats.Dropped++
		return n.takeActions()
	}
	bucket.tokens--
	n.tokens--
	n.stats.Received++
	n.stats.ReceivedBytes += int64(len(data))
	message, err := decode(data, n.config.Members)
	if err != nil || message.from != from || from == n.config.Self || !n.plausible(message) {
		n.stats.Malformed++
		return n.takeActions()
	}
	if n.left || n.superseded {
		return n.takeActions()
	}
	sender := &n.members[from]
	if message.start < sender.Start {
		// An earlier process sent the datagram. If it still runs, it must learn of the later one.
		n.stats.Stale++
		n.send(from, datagram{kind: gossip}, []entry{n.entryOf(from)})
		return n.takeActions()
	}
	for _, e := range message.entries {
		n.applyEntry(e)
	}
	if n.superseded {
		return n.takeActions()
	}
	if sender.Start != message.start && !(sender.State == Left && sender.Start >= message.start) {
		n.setState(from, Alive, 0, message.start) // a member that sends is alive
	}
	sender.digest, sender.digestKnown, sender.receivedAt, n.receivedAt = message.digest, true, n.now, n.now
	n.handle(from, message)
	// Without a pending update, dissemination alone would not make the two views equal.
	if message.digest != n.digest && len(n.updates) == 0 && n.now-n.comparedAt >= n.stretch(Period) {
		n.sendSums(from)
	}
	return n.takeActions()
}

// plausible reports whether no process start in a datagram lies in the future. Such a start would
// exclude the real process of its member permanently.
func (n *Node) plausible(d datagram) bool {
	const skew = time.Hour // allowed between the clocks of two machines
	latest := n.config.Start + (n.now - n.startedAt + skew).Milliseconds()
	return d.start <= latest && !slices.ContainsFunc(d.entries, func(e entry) bool { return e.start > latest })
}

// handle answers a datagram and applies its effect on probes, depending on its kind.
func (n *Node) handle(from int, message datagram) {
	switch message.kind {
	case ping:
		if message.subject == n.config.Self {
			n.send(from, datagram{kind: ack, sequence: message.sequence, subject: n.config.Self}, n.entryToRefute(from))
		}
	case pingRequest:
		if len(n.relays) >= n.config.Members || message.subject == n.config.Self {
			return
		}
		n.sequence++
		n.relays = append(n.relays, relay{from, message.sequence, message.subject, n.sequence, n.now + directProbeTimeout})
		n.send(message.subject, datagram{kind: ping, sequence: n.sequence, subject: message.subject}, n.entryToRefute(message.subject))
	case ack:
		if p := n.probe; p != nil && p.sequence == message.sequence && message.subject == p.target {
			n.probe = nil
			n.health = max(n.health-1, 0)
			return
		}
		n.relays = slices.DeleteFunc(n.relays, func(r relay) bool {
			if r.pingSequence != message.sequence || r.target != from {
				return false
			}
			n.send(r.requester, datagram{kind: ack, sequence: r.requesterSequence, subject: from}, nil)
			return true
		})
	case nack:
		if p := n.probe; p != nil && p.sequence == message.sequence && message.subject == p.target {
			p.awaitingNack = slices.DeleteFunc(p.awaitingNack, func(helper int) bool { return helper == from })
		}
	case viewSums:
		sent := 0
		for i, sum := range message.sums {
			first := message.subject + i*maxEntries
			if first >= n.config.Members || sent == maxPartsPerAnswer {
				break
			}
			if sum != n.checksum(first) {
				sent++
				n.sendEntries(from, datagram{kind: viewPart, subject: first}, n.partEntries(first))
			}
		}
	case viewPart:
		// Return the entries that are missing or older at the sender, in one datagram.
		var newer []entry
		for _, e := range message.entries {
			if m := &n.members[e.member]; m.State != Unknown && supersedes(n.entryOf(e.member), &member{Member: Member{e.member, e.state, e.incarnation, e.start, 0}}) {
				newer = append(newer, n.entryOf(e.member))
			}
		}
		if len(newer) > 0 {
			n.send(from, datagram{kind: gossip}, newer)
		}
	}
}
