package verdicts

import (
	"slices"
	"strconv"

	"ravenlink/internal/post"
)

// newMessage prepares a peer message and deducts its size from the byte budget.
func (t *Table) newMessage(now int64, to, slot string, m Msg) post.PeerMessage[Msg] {
	m.Incarnation, m.SentAt = t.incarnation, now
	t.peers[to].clock.echo(now, &m)
	bytes := m.size()
	t.tokens -= float64(bytes)
	t.counts.Bytes += uint64(bytes)
	return post.PeerMessage[Msg]{To: to, Slot: slot, Msg: m}
}

// nextSlot returns one of 32 numbered slots, so that messages with facts do not replace each other too soon.
func (t *Table) nextSlot(kind string) string {
	t.slotCounter++
	return kind + strconv.FormatUint(t.slotCounter%32, 10)
}

func (t *Table) refill(now int64) {
	rate := float64(t.bounds.BytesPerSec)
	t.tokens = min(t.tokens+rate*float64(now-t.tokensAt)/1e6, burstSeconds*rate)
	t.tokensAt = now
}

// nextTargets returns up to n targets in round-robin order.
func (t *Table) nextTargets(n int) []string {
	var to []string
	for i := 0; i < len(t.targets) && len(to) < n; i++ {
		t.nextTarget = (t.nextTarget + 1) % len(t.targets)
		if name := t.targets[t.nextTarget]; t.peers[name] != nil {
			to = append(to, name)
		}
	}
	return to
}

// sendNow sends new facts to a few targets; without budget they wait for the next gossip round.
func (t *Table) sendNow(now int64, hs []*record) []post.PeerMessage[Msg] {
	t.refill(now)
	if t.tokens <= 0 || len(t.targets) == 0 {
		return nil
	}
	var facts []wireFact
	for _, r := range hs {
		facts = append(facts, pack(r.factAt(now)))
		r.sendsLeft--
	}
	var messages []post.PeerMessage[Msg]
	slot := t.nextSlot("new/")
	for _, to := range t.nextTargets(fanout) {
		messages = append(messages, t.newMessage(now, to, slot, Msg{Facts: facts}))
	}
	return messages
}

// Tick removes expired facts, sends hot ones and periodically compares digests with another sender.
func (t *Table) Tick(now int64) []post.PeerMessage[Msg] {
	t.start(now)
	if now < t.nextRound {
		return nil
	}
	t.nextRound = max(t.nextRound+t.timing.GossipInterval, now+t.timing.GossipInterval/2)
	t.refill(now)
	t.retain(func(r *record) bool { return !r.expired(now) })
	messages := t.gossip(now)
	if t.tokens > 0 && !t.Syncing(now) {
		messages = append(messages, t.probeClock(now)...)
		messages = append(messages, t.resync(now)...)
	}
	every := t.timing.ExchangeInterval
	if t.Syncing(now) {
		every /= 4
	}
	if now < t.nextExchange || t.tokens <= 0 {
		return messages
	}
	t.nextExchange = now + every
	n := 1
	if t.Syncing(now) {
		n = syncPeers
	}
	for _, to := range t.nextTargets(n) {
		messages = append(messages, t.sendDigest(now, to))
	}
	return messages
}

func (t *Table) sendDigest(now int64, to string) post.PeerMessage[Msg] {
	return t.newMessage(now, to, "digest", Msg{Flags: flagEcho, Digest: t.rootDigest(now)})
}

// resync compares digests with a few senders that were unreachable and have returned, without waiting for their turn.
func (t *Table) resync(now int64) (messages []post.PeerMessage[Msg]) {
	for _, name := range t.targets {
		if p := t.peers[name]; p != nil && p.needsSync && len(messages) < syncPeers {
			p.needsSync = false
			messages = append(messages, t.sendDigest(now, name))
		}
	}
	return messages
}

// gossip sends the newest hot facts to a few targets.
func (t *Table) gossip(now int64) []post.PeerMessage[Msg] {
	t.hot = slices.DeleteFunc(t.hot, func(r *record) bool {
		r.queued = r.sendsLeft > 0
		return !r.queued
	})
	if len(t.hot) == 0 || t.tokens <= 0 || len(t.targets) == 0 {
		return nil
	}
	var facts []wireFact
	bytes := headerSize
	for i := len(t.hot) - 1; i >= 0; i-- {
		w := pack(t.hot[i].factAt(now))
		if bytes += w.size(); bytes > t.bounds.MaxBytes && len(facts) > 0 {
			break
		}
		facts = append(facts, w)
		t.hot[i].sendsLeft--
	}
	var messages []post.PeerMessage[Msg]
	slot := t.nextSlot("hot/")
	for _, to := range t.nextTargets(fanout) {
		messages = append(messages, t.newMessage(now, to, slot, Msg{Facts: facts}))
	}
	return messages
}

// probeClock requests an echo from a sender whose clock is not known yet, so that its first facts can be dated on arrival.
func (t *Table) probeClock(now int64) []post.PeerMessage[Msg] {
	for range t.targets {
		t.nextTarget = (t.nextTarget + 1) % len(t.targets)
		if p := t.peers[t.targets[t.nextTarget]]; p != nil && !p.clock.known {
			return []post.PeerMessage[Msg]{t.newMessage(now, p.name, "echo", Msg{Flags: flagEcho})}
		}
	}
	return nil
}

// forEach calls do for each entry included in digests, in a fixed order.
func (t *Table) forEach(now int64, do func(*record)) {
	for _, s := range t.order {
		for _, r := range t.subjects[s] {
			if !r.suppressed && !r.expired(now) {
				do(r)
			}
		}
	}
}

// digest returns the digest of each bucket.
func (t *Table) digest(now int64) []uint32 {
	d := make([]uint32, buckets)
	t.forEach(now, func(r *record) { d[r.bucket()] ^= r.fingerprint() })
	return d
}

func (t *Table) rootDigest(now int64) []uint32 {
	var r uint32
	for i, d := range t.digest(now) {
		r ^= uint32(mix(uint64(d) + uint64(i)<<32))
	}
	return []uint32{r}
}

// delta sends the facts in the wanted buckets that the peer does not have, in a few messages. A later exchange finds what does not fit.
func (t *Table) delta(now int64, to string, want uint32, known map[uint32]bool, wantBack uint32) []post.PeerMessage[Msg] {
	var parts [][]wireFact
	bytes := t.bounds.MaxBytes
	var all []*record
	t.forEach(now, func(r *record) {
		if want&(1<<r.bucket()) != 0 && !known[r.fingerprint()] {
			all = append(all, r)
		}
	})
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] }) // so that it is not always the same part that is left out
	for _, r := range all {
		w := pack(r.factAt(now))
		if bytes+w.size() > t.bounds.MaxBytes {
			if len(parts) == maxReplies {
				break
			}
			parts, bytes = append(parts, nil), headerSize
		}
		bytes += w.size()
		parts[len(parts)-1] = append(parts[len(parts)-1], w)
	}
	if len(parts) == 0 {
		parts = [][]wireFact{nil}
	}
	var messages []post.PeerMessage[Msg]
	for i, part := range parts {
		m := Msg{Facts: part}
		if i == len(parts)-1 {
			m.Flags, m.WantBuckets = flagLast, wantBack
		}
		messages = append(messages, t.newMessage(now, to, "delta/"+strconv.Itoa(i), m))
	}
	return messages
}
