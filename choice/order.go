package choice

import "slices"

// Ordered delivery of the messages of a key.

// keyQueue holds the messages of one key in order of acceptance. It is removed when empty and past its quiet time.
type keyQueue struct {
	key        string
	msgs       []*msg
	quietUntil int64
}

// keyQueueOf is the queue of a key.
func (s *Sender) keyQueueOf(key string) *keyQueue {
	l := s.keyQueues[key]
	if l == nil {
		l = &keyQueue{key: key, quietUntil: s.restartQuietUntil}
		s.keyQueues[key] = l
	}
	return l
}

// Restarted says that an earlier process served here: its legs may still run, so every key waits for its quiet time.
func (s *Sender) Restarted() { s.restartQuietUntil = s.now + s.rules.KeyQuietTime }

func (s *Sender) dropQuietQueues() {
	s.quietQueues = slices.DeleteFunc(s.quietQueues, func(l *keyQueue) bool {
		if len(l.msgs) == 0 && l.quietUntil <= s.now && s.keyQueues[l.key] == l {
			delete(s.keyQueues, l.key)
		}
		return len(l.msgs) > 0 || l.quietUntil <= s.now
	})
}
