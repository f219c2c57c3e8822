package purge

import (
	"cmp"
	"maps"
	"slices"
)

// place is a folder of a sender; folder 0 stands for a listed sender that was never heard of.
type place struct {
	name   string
	folder uint64
}

// roster is every folder that may hold data: of all listed and of all ever seen. Only an operator's word takes one out of account, and
// only until it is seen again.
type roster struct {
	all  map[place]*Seen
	full bool // one did not fit: nothing completes until the list is shortened
}

func (r *roster) list() (all []Seen) {
	for _, at := range r.places() {
		all = append(all, *r.all[at])
	}
	return all
}

func (r *roster) places() []place {
	return slices.SortedFunc(maps.Keys(r.all), func(a, b place) int { return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.folder, b.folder)) })
}

func (r *roster) known(name string) bool {
	for at := range r.all {
		if at.name == name {
			return true
		}
	}
	return false
}

// see takes in a folder that a view shows. It tells whether anything of it is new.
func (r *roster) see(s Seen) bool {
	at := place{s.Name, s.Folder}
	old := r.all[at]
	switch {
	case s.Folder == 0 && r.known(s.Name):
		return false
	case old == nil:
		return r.admit(Seen{Name: s.Name, Folder: s.Folder, Incarnation: s.Incarnation})
	case s.Folder != 0 && old.Destroyed != "": // it is back: the word was wrong
		old.Destroyed, old.Returns, old.Incarnation = "", old.Returns+1, s.Incarnation
		return true
	case old.Incarnation != s.Incarnation:
		old.Incarnation = s.Incarnation
		return true
	}
	return false
}

// admit puts a folder on the list, in the place of its sender's unknown one. It tells whether there was room.
func (r *roster) admit(s Seen) bool {
	if !r.room() {
		return false
	}
	if s.Folder != 0 {
		delete(r.all, place{s.Name, 0})
	}
	r.all[place{s.Name, s.Folder}] = &s
	return true
}

// hear takes in what another sender knows of folders. It tells whether anything of it is new.
func (r *roster) hear(s Seen) bool {
	at := place{s.Name, s.Folder}
	old := r.all[at]
	switch {
	case old == nil && s.Folder == 0 && r.known(s.Name):
		return false
	case old == nil:
		return r.admit(s)
	case old.Returns < s.Returns:
		old.Returns, old.Destroyed = s.Returns, s.Destroyed
		old.Incarnation = max(old.Incarnation, s.Incarnation)
		return true
	case old.Returns == s.Returns && old.Destroyed == "" && s.Destroyed != "":
		old.Destroyed = s.Destroyed
		return true
	}
	return false
}

// vacant tells whether all folders known of a sender are declared destroyed, and nothing is said of one that it may have begun since.
func (r *roster) vacant(name string) bool {
	if s := r.all[place{name, 0}]; s != nil {
		return s.Destroyed == ""
	}
	for at, s := range r.all {
		if at.name == name && s.Destroyed == "" {
			return false
		}
	}
	return true
}

func (r *roster) destroy(name string, folder uint64, by string) bool {
	s := r.all[place{name, folder}]
	if s == nil && folder == 0 && r.known(name) && r.room() { // the sender is gone, with whatever it may have begun since it was heard
		s = &Seen{Name: name}
		r.all[place{name, 0}] = s
	}
	if s == nil || s.Destroyed != "" || by == "" {
		return false
	}
	s.Destroyed = by
	return true
}

// room makes some: what an operator declared destroyed goes first.
func (r *roster) room() bool {
	if len(r.all) < mostFolders {
		return true
	}
	for _, at := range r.places() {
		if r.all[at].Destroyed != "" {
			delete(r.all, at)
			return true
		}
	}
	r.full = true
	return false
}
