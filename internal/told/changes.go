package told

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ravenlink/internal/protocol"
)

const (
	fileName    = "told.json"
	fileVersion = 1
)

// ErrTooMuch says that what was told does not fit the file: the next process goes by its start file.
var ErrTooMuch = errors.New("told receivers: more than the folder has room for")

// Changes is what a sender was told of receivers since its start file's list, kept in a file. It is no use to several goroutines at once.
type Changes struct {
	path string
	most int64 // bytes of the file

	began    map[uint64]struct{} // hashes of the ids of the start file's list: one that goes has to be remembered as gone
	seed     maphash.Seed
	revision int64
	whole    bool // members are all, and nothing of the start file's list counts
	members  map[string]protocol.Member
	bytes    int64 // about, of members in the file
	lost     bool  // it did not fit; nothing is kept until a whole list does
}

// file is the content on disk.
type file struct {
	Version  int               `json:"version"`
	Revision int64             `json:"revision"`
	Whole    bool              `json:"whole"`
	Members  []protocol.Member `json:"members"`
}

// Open reads what an earlier process was told and joins it to the start file's list. A file that cannot be read, or is older than that list,
// counts for nothing; the error says why it cannot be read.
func Open(dir string, most int64, begin protocol.List) (c *Changes, now protocol.List, err error) {
	c = &Changes{path: filepath.Join(dir, fileName), most: most, began: make(map[uint64]struct{}, len(begin.Members)), seed: maphash.MakeSeed(),
		revision: begin.Revision, members: map[string]protocol.Member{}}
	for _, m := range begin.Members {
		c.began[c.hash(m.ID)] = struct{}{}
	}
	f, err := c.read()
	if err != nil || f.Version == 0 || f.Revision < begin.Revision {
		return c, begin, err
	}
	c.revision, c.whole = f.Revision, f.Whole
	for _, m := range f.Members {
		c.note(m)
	}
	return c, c.join(begin), nil
}

func (c *Changes) hash(id string) uint64 { return maphash.String(c.seed, id) }

func (c *Changes) read() (f file, err error) {
	text, err := os.ReadFile(c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err == nil && f.Version != fileVersion {
		err = fmt.Errorf("version %d, known is %d", f.Version, fileVersion)
	}
	if err != nil {
		return file{}, fmt.Errorf("told receivers: %w", err)
	}
	return f, nil
}

// join gives the list that stands: the start file's, with what was told since.
func (c *Changes) join(begin protocol.List) protocol.List {
	now := protocol.List{Revision: c.revision, Whole: true}
	if !c.whole {
		now.Members = slices.DeleteFunc(begin.Members, func(m protocol.Member) bool {
			_, changed := c.members[m.ID]
			return changed
		})
	}
	now.Members = append(now.Members, c.sorted()...)
	return now
}

func (c *Changes) sorted() []protocol.Member {
	all := make([]protocol.Member, 0, len(c.members))
	for _, m := range c.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b protocol.Member) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// note takes in one entry. One that is gone is remembered only where the start file names it.
func (c *Changes) note(m protocol.Member) {
	if old, is := c.members[m.ID]; is {
		c.bytes -= cost(old)
		delete(c.members, m.ID)
	}
	_, began := c.began[c.hash(m.ID)]
	if !m.Serving && (c.whole || !began) {
		return
	}
	c.members[m.ID] = m
	c.bytes += cost(m)
}

// cost is about what a member takes in the file.
func cost(m protocol.Member) int64 {
	const names = 96 // bytes: the fields' names and numbers
	return int64(names + len(m.ID) + len(m.Addr) + len(m.Zone) + len(m.Kind))
}

// Take keeps a list that stands, on disk when it returns. With an error the next process may know less.
func (c *Changes) Take(l protocol.List) error {
	if l.Whole {
		c.whole, c.lost, c.bytes = true, false, 0
		c.members = map[string]protocol.Member{}
	}
	if c.lost || !l.Whole && len(l.Members) == 0 && l.Revision == c.revision {
		return nil
	}
	for _, m := range l.Members {
		c.note(m)
		if c.bytes > c.most {
			return c.lose()
		}
	}
	c.revision = l.Revision
	return c.write()
}

// lose gives up what does not fit: half of it would be taken for all.
func (c *Changes) lose() error {
	c.lost, c.members, c.bytes = true, map[string]protocol.Member{}, 0
	if err := os.Remove(c.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("told receivers: %w", err)
	}
	return ErrTooMuch
}

// write replaces the file at once, so that a kill leaves the old or the new one.
func (c *Changes) write() error {
	text, err := json.Marshal(file{fileVersion, c.revision, c.whole, c.sorted()})
	if err == nil {
		err = os.WriteFile(c.path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(c.path+".new", c.path)
	}
	if err != nil {
		return fmt.Errorf("told receivers: %w", err)
	}
	return nil
}
