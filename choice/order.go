package choice

import "slices"

// The messages of a key, one after the other.

// keyLine holds the messages of one key in the order taken. It goes when empty and rested.
type keyLine struct {
	key  string
	msgs []*msg
	rest int64
}

// lineOf is the line of a key.
func (s *Sender) lineOf(key string) *keyLine {
	l := s.lines[key]
	if l == nil {
		l = &keyLine{key: key, rest: s.restTill}
		s.lines[key] = l
	}
	return l
}

// Restarted says that a process before this one served here: its attempts may still run, so every key rests.
func (s *Sender) Restarted() { s.restTill = s.now + s.guards.KeyRest }

func (s *Sender) restOver() {
	s.resting = slices.DeleteFunc(s.resting, func(l *keyLine) bool {
		if len(l.msgs) == 0 && l.rest <= s.now && s.lines[l.key] == l {
			delete(s.lines, l.key)
		}
		return len(l.msgs) > 0 || l.rest <= s.now
	})
}
