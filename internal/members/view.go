// Package members holds a sender's view of its fleet: the listed members, their states, and since when.
package members

// State of a member, as one sender sees it.
type State uint8

// The states. Silence alone leads to Dead, which says nothing about the member's folder: it may come back with all its data. Left is
// announced by the member itself; its folder still exists until an operator declares it destroyed.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "doubted", "gone", "left"}[s] }

// Member is one sender of the fleet.
type Member struct {
	Name        string
	State       State
	Incarnation uint64 // increases by one with each start on the same folder; 0 if it was never heard from
	Folder      uint64 // random ID, drawn when the folder is created; another one means that the old folder was lost or set aside; 0 if unknown
	Since       int64  // µs of the observer's clock; latest change of state, incarnation or folder
}

// View is the fleet as one sender sees it. Members are sorted by name; the observer is among them and alive.
type View struct {
	Self    string
	Epoch   uint64 // increases by one with each change of a member's state, incarnation or folder
	Members []Member
}

// Alive returns the names of the members that are alive, sorted.
func (v View) Alive() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Alive {
			names = append(names, m.Name)
		}
	}
	return names
}

// Member returns the member with the given name.
func (v View) Member(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
