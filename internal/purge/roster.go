package purge

import (
	"cmp"
	"maps"
	"slices"
)

// folderKey identifies a folder of a sender; folder 0 stands for a listed sender that was never seen.
type folderKey struct {
	name   string
	folder uint64
}

// roster lists every folder that may hold data: those of all listed senders and all that were ever seen. Only an operator's declaration
// excludes one, and only until it is seen again.
type roster struct {
	folders map[folderKey]*KnownFolder
	full    bool // a folder did not fit: nothing completes until entries are removed
}

func (r *roster) list() (folders []KnownFolder) {
	for _, key := range r.keys() {
		folders = append(folders, *r.folders[key])
	}
	return folders
}

func (r *roster) keys() []folderKey {
	return slices.SortedFunc(maps.Keys(r.folders), func(a, b folderKey) int { return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.folder, b.folder)) })
}

func (r *roster) known(name string) bool {
	for key := range r.folders {
		if key.name == name {
			return true
		}
	}
	return false
}

// observe adds or updates a folder from a membership view. It reports whether anything changed.
func (r *roster) observe(s KnownFolder) bool {
	key := folderKey{s.Name, s.Folder}
	old := r.folders[key]
	switch {
	case s.Folder == 0 && r.known(s.Name):
		return false
	case old == nil:
		return r.add(KnownFolder{Name: s.Name, Folder: s.Folder, Incarnation: s.Incarnation})
	case s.Folder != 0 && old.DestroyedBy != "": // the folder is back: the declaration was wrong
		old.DestroyedBy, old.Returns, old.Incarnation = "", old.Returns+1, s.Incarnation
		return true
	case old.Incarnation != s.Incarnation:
		old.Incarnation = s.Incarnation
		return true
	}
	return false
}

// add adds a folder, in place of its sender's placeholder. It returns false if the roster is full.
func (r *roster) add(s KnownFolder) bool {
	if !r.makeRoom() {
		return false
	}
	if s.Folder != 0 {
		delete(r.folders, folderKey{s.Name, 0})
	}
	r.folders[folderKey{s.Name, s.Folder}] = &s
	return true
}

// merge adds or updates a folder that a peer reported. It reports whether anything changed.
func (r *roster) merge(s KnownFolder) bool {
	key := folderKey{s.Name, s.Folder}
	old := r.folders[key]
	switch {
	case old == nil && s.Folder == 0 && r.known(s.Name):
		return false
	case old == nil:
		return r.add(s)
	case old.Returns < s.Returns:
		old.Returns, old.DestroyedBy = s.Returns, s.DestroyedBy
		old.Incarnation = max(old.Incarnation, s.Incarnation)
		return true
	case old.Returns == s.Returns && old.DestroyedBy == "" && s.DestroyedBy != "":
		old.DestroyedBy = s.DestroyedBy
		return true
	}
	return false
}

// allDestroyed reports whether all known folders of a sender are declared destroyed, but not one that it may have started since: that one is
// declared by the placeholder, folder 0.
func (r *roster) allDestroyed(name string) bool {
	if s := r.folders[folderKey{name, 0}]; s != nil {
		return s.DestroyedBy == ""
	}
	for key, s := range r.folders {
		if key.name == name && s.DestroyedBy == "" {
			return false
		}
	}
	return true
}

func (r *roster) markDestroyed(name string, folder uint64, by string) bool {
	s := r.folders[folderKey{name, folder}]
	if s == nil && folder == 0 && r.known(name) && r.makeRoom() { // the sender is gone, along with any folder started since it was last seen
		s = &KnownFolder{Name: name}
		r.folders[folderKey{name, 0}] = s
	}
	if s == nil || s.DestroyedBy != "" || by == "" {
		return false
	}
	s.DestroyedBy = by
	return true
}

// makeRoom ensures that an entry can be added, evicting a folder that is declared destroyed if necessary.
func (r *roster) makeRoom() bool {
	if len(r.folders) < maxFolders {
		return true
	}
	for _, key := range r.keys() {
		if r.folders[key].DestroyedBy != "" {
			delete(r.folders, key)
			return true
		}
	}
	r.full = true
	return false
}
