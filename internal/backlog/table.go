package backlog

import (
	"cmp"
	"fmt"
)

// Table is `backlog` in the operator's file. The backlog is on where the table is there.
type Table struct {
	MostMB       float64 `toml:"most_mb"`       // of the spool's files, what rests and what is worked on together; left out, all of the spool's room
	MostMessages int     `toml:"most_messages"` // that may rest; left out, as many as memoryShare of the memory limit holds the index of
}

const (
	leastMB     = 0.5
	memoryShare = 0.25 // of the memory limit, for the index of what rests
	indexBytes  = 16   // of memory for a message that rests, at most
	countMost   = 100_000_000
)

// Fill sets what was left out, by the bytes that the spool may take and the memory that the process has.
func (t *Table) Fill(spool, memory int64) {
	t.MostMB = cmp.Or(t.MostMB, float64(spool)/1e6)
	t.MostMessages = cmp.Or(t.MostMessages, indexed(memory))
}

// indexed is how many messages the index may hold in a process of so many bytes of memory.
func indexed(memory int64) int {
	return max(1, min(countMost, int(memoryShare*float64(memory))/indexBytes))
}

// Bytes is the bound of the spool's files.
func (t Table) Bytes() int64 { return int64(t.MostMB * 1e6) }

// Check names what is wrong with the table by itself.
func (t Table) Check(fault func(setting, what string)) {
	if t.MostMB != 0 && t.MostMB < leastMB {
		fault("most_mb", fmt.Sprintf("that is less than %g MB", leastMB))
	}
	if t.MostMessages < 0 || t.MostMessages > countMost {
		fault("most_messages", fmt.Sprintf("%d is not within 1 and %d", t.MostMessages, countMost))
	}
}

// Fit names what does not fit a sender's limits, both in bytes: its spool's share of the disk, and its memory.
func (t Table) Fit(spool, memory int64, fault func(setting, what string)) {
	if t.Bytes() > spool {
		fault("most_mb", fmt.Sprintf("%g MB do not fit: the spool may take %.2f MB of limits.disk_mb", t.MostMB, float64(spool)/1e6))
	}
	if most := indexed(memory); t.MostMessages > most {
		fault("most_messages", fmt.Sprintf("%d do not fit: a quarter of limits.memory_mb holds the index of %d", t.MostMessages, most))
	}
}
