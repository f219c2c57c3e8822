package backlog

import (
	"cmp"
	"fmt"
)

// Table is the table `backlog` in the operator's file. The backlog is enabled if the table is present.
type Table struct {
	MostMB       float64 `toml:"most_mb"`       // limit for the files of the spool, for spilled and active messages together; default: all of the room of the spool
	MostMessages int     `toml:"most_messages"` // limit for spilled messages; default: as many as memoryShare of the memory limit can index
}

const (
	minMB         = 0.5
	memoryShare   = 0.25 // of the memory limit, for the index of spilled messages
	indexBytes    = 16   // bytes of memory per spilled message, at most
	messagesLimit = 100_000_000
)

// SetDefaults sets missing values from the bytes that the spool may use and the memory of the process.
func (t *Table) SetDefaults(spool, memory int64) {
	t.MostMB = cmp.Or(t.MostMB, float64(spool)/1e6)
	t.MostMessages = cmp.Or(t.MostMessages, maxIndexed(memory))
}

// maxIndexed returns the number of messages that the index may hold in a process with so many bytes of memory.
func maxIndexed(memory int64) int {
	return max(1, min(messagesLimit, int(memoryShare*float64(memory))/indexBytes))
}

// Bytes returns the limit for the files of the spool.
func (t Table) Bytes() int64 { return int64(t.MostMB * 1e6) }

// Validate reports the faults of the table by itself.
func (t Table) Validate(fault func(setting, what string)) {
	if t.MostMB != 0 && t.MostMB < minMB {
		fault("most_mb", fmt.Sprintf("that is less than %g MB", minMB))
	}
	if t.MostMessages < 0 || t.MostMessages > messagesLimit {
		fault("most_messages", fmt.Sprintf("%d is not within 1 and %d", t.MostMessages, messagesLimit))
	}
}

// CheckFits reports what exceeds the limits of a sender, both in bytes: the share of the disk for its spool, and its memory.
func (t Table) CheckFits(spool, memory int64, fault func(setting, what string)) {
	if t.Bytes() > spool {
		fault("most_mb", fmt.Sprintf("%g MB do not fit: the spool may take %.2f MB of limits.disk_mb", t.MostMB, float64(spool)/1e6))
	}
	if most := maxIndexed(memory); t.MostMessages > most {
		fault("most_messages", fmt.Sprintf("%d do not fit: a quarter of limits.memory_mb holds the index of %d", t.MostMessages, most))
	}
}
